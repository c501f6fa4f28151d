#include "common/json.h"
#include "rosemaryctl/ctl.h"
#include "rosemaryrail/document.h"

/* Checks the form of FILE; the daemon checks the fields, since only it knows
   the teams and their quotas.  */
static enum ctl_exit
check_form (const struct ctl *ctl, const struct rr_config_file *file)
{
  struct rr_document d;
  struct rr_config_errors errors = { 0 };
  rr_document_parse (&d, file, &errors);
  enum ctl_exit rc = errors.count == 0 ? CTL_OK : CTL_CHECK_ERRORS;
  if (rc != CTL_OK)
    ctl_print_errors (ctl, &errors);
  rr_document_free (&d);
  rr_config_errors_free (&errors);
  return rc;
}

static enum ctl_exit
submit (const struct ctl *ctl, const struct rr_config_file *file)
{
  struct ctl_request r = {
    .method = "POST", .path = "/v1/jobs", .body = file->text, .generation = -1
  };
  struct ctl_response a;
  enum ctl_exit rc = ctl_call (ctl, &r, &a);
  if (rc != CTL_OK)
    return rc;
  rc = ctl_response_check (ctl, &a);
  if (rc == CTL_OK && ctl->json)
    puts (json_text (a.json));
  else if (rc == CTL_OK)
    printf ("job %s: accepted\n", ctl_text (a.json, "id"));
  ctl_response_free (&a);
  return rc;
}

/* rosemaryctl submit FILE  */
int
command_submit (int argc, char **argv)
{
  struct arg_str *file = arg_str1 (NULL, NULL, "FILE", "one job as JSON");
  void *own[] = { file };
  struct ctl ctl;
  struct ctl_files files = { 0 };
  enum ctl_exit rc = ctl_open (&ctl, argc, argv,
                               "Submits one job.  Repeating it is safe: a job "
                               "id is accepted once.",
                               own, 1);
  if (rc == CTL_CONTINUE && !ctl_files_read (&files, file->sval, 1))
    rc = CTL_FAILURE;
  if (rc == CTL_CONTINUE)
    {
      rc = check_form (&ctl, &files.items[0]);
      if (rc == CTL_OK)
        rc = submit (&ctl, &files.items[0]);
    }
  ctl_files_free (&files);
  ctl_close (&ctl);
  return rc;
}
