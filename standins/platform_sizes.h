/*
 * platform_sizes - bodies of the large responses of standin-platform.
 */
#ifndef MIMOSA_PLATFORM_SIZES_H
#define MIMOSA_PLATFORM_SIZES_H

#define LARGE_BYTES (700 * 1024) /* the kernel buffers it */
/* More than the kernel buffers.  Around the minimum, the VM has the whole
 * response while a part of it is still unsent. */
#define HUGE_MIN_KB 3600
#define HUGE_MAX_KB 4400
#define HUGE_STEP_KB 100

#endif
