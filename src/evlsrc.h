/*
 * evlsrc - an evl loop as an event source of the thread's main context, for
 * programs that run on GLib's loop.
 */
#ifndef MIMOSA_EVLSRC_H
#define MIMOSA_EVLSRC_H

#include <glib.h>

#include "evl.h"

/* Borrows the loop, which must outlive the source; ended by src_end(). */
GSource *evlsrc_new(Evl *l);

#endif
