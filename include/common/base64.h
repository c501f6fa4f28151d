#ifndef COMMON_BASE64_H
#define COMMON_BASE64_H

#include <stdbool.h>
#include <stddef.h>

char *base64_encode (const char *bytes, size_t length);
bool base64_decode (const char *text, char **bytes, size_t *length);

#endif
