/*
 * evlsrc - runs an evl loop as a GSource of the thread's main context, for
 * programs that use GLib's main loop.
 */
#ifndef MIMOSA_EVLSRC_H
#define MIMOSA_EVLSRC_H

#include <glib.h>

#include "evl.h"

/* Creates and attaches the source.  The loop is borrowed and must outlive it;
 * src_end() destroys the source. */
GSource *evlsrc_new(Evl *l);

#endif
