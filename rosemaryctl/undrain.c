#include "rosemaryctl/ctl.h"

/* rosemaryctl undrain VM  */
int
command_undrain (int argc, char **argv)
{
  return ctl_set_drain (argc, argv, "Allows new work on a VM again.",
                        "undrain");
}
