/*
 * ini - strict parser of INI text.
 *
 * GKeyFile silently merges duplicate groups and keys.  They are errors here,
 * because the second value would override a reviewed one.
 */
#ifndef MIMOSA_INI_H
#define MIMOSA_INI_H

#include <glib.h>

#include "err.h"
#include "str.h"

/*
 * Returns a new GKeyFile, which the caller frees, or NULL.  The error gives
 * the line, the text found, the text allowed and the remedy.  Errors:
 * ERR_SYNTAX.
 */
GKeyFile *ini_read(Str text, Err *e);

#endif
