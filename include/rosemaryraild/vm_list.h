#ifndef ROSEMARYRAILD_VM_LIST_H
#define ROSEMARYRAILD_VM_LIST_H

#include <stddef.h>

#include "rosemaryrail/error.h"
#include "rosemaryrail/membership.h"

/* One VM of the platform's list.  */
struct vm_list_entry
{
  struct rr_member_info info; /* the address field holds the VM's name */
  char address[RR_MEMBER_ADDRESS_SIZE];
};

/* The entries of a VM list that name a VM.  */
struct vm_list
{
  struct vm_list_entry *entries;
  size_t count;
  size_t left_out;        /* entries that name no VM */
  struct rr_error reason; /* of the first entry left out */
};

bool vm_list_parse (const char *text, size_t length, struct vm_list *list,
                    struct rr_error *err);
void vm_list_free (struct vm_list *list);

#endif
