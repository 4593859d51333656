#ifndef CLI_CLI_FILE_H
#define CLI_CLI_FILE_H

#include <glib.h>
#include <stddef.h>

#include "conf/doc.h"
#include "conf/set.h"

/* Reading of the files that are given on the command line. */

char *cli_read_file(const char *path, size_t *len);
struct set *cli_read_settings(const char *path);
struct doc *cli_read_document(const char *path, char **text, size_t *len);

#endif
