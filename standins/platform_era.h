/*
 * platform_era - era of the store of standin-platform, which messages of
 * standin-peer name, too.
 */
#ifndef MIMOSA_PLATFORM_ERA_H
#define MIMOSA_PLATFORM_ERA_H

#define STANDIN_ERA 1 /* until PUT /test/restore or /test/era */

#endif
