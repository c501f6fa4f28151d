#ifndef ROSEMARYRAILD_VM_LIST_H
#define ROSEMARYRAILD_VM_LIST_H

#include <stddef.h>

#include "rosemaryrail/error.h"
#include "rosemaryrail/membership.h"

/* One line of the platform's list.  */
struct vm_list_entry
{
  struct rr_member_info info; /* its address member holds the VM's name */
  char address[RR_MEMBER_ADDRESS_SIZE];
};

bool vm_list_parse (const char *text, size_t length,
                    struct vm_list_entry **out, size_t *count,
                    struct rr_error *err);

#endif
