#include <stdio.h>

#include "common/settings.h"

/* Reads settings from the arguments like a daemon and prints some of them.  */
int
main (int argc, char **argv)
{
  struct settings s;
  enum settings_outcome outcome
      = settings_from_arguments ("print-settings", argc, argv, &s);
  if (outcome != SETTINGS_READ)
    return settings_exit_code (outcome);
  printf ("name=%s zone=%s http_port=%lld seed_peers=%zu\n", s.name, s.zone,
          (long long)s.http_port, s.seed_peer_count);
  settings_free (&s);
  return 0;
}
