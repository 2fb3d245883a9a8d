/*
 * settings - settings of a process, read from an INI file.
 *
 * Groups and keys; addresses are "IP:PORT":
 *
 * [vm]      id, zone
 * [listen]  entry, lookup, control: addresses of the services;
 *           admin: address where entry and lookup serve their counters
 *           (default: none)
 * [store]   address
 * [fleet]   key_file or key: at least 32 hex digits; peers: "IP:PORT;..."
 * [tls]     certificate, key: for connections of callers; both or neither
 * [log]     level: error, warn, info or debug; file (default: standard error)
 */
#ifndef MIMOSA_SETTINGS_H
#define MIMOSA_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "lg.h"
#include "limits.h"

#define FLEET_KEY_BYTES 32
#define PEERS_MAX 16
#define FILE_PATH_BYTES 256

typedef struct Settings {
    char vm_id[NAME_BYTES];
    char zone[NAME_BYTES];
    char entry[ADDR_BYTES];
    char lookup[ADDR_BYTES];
    char control[ADDR_BYTES];
    char admin[ADDR_BYTES]; /* empty: none */
    char store[ADDR_BYTES];
    int n_peers;
    char peers[PEERS_MAX][ADDR_BYTES]; /* control processes to query while the
                                          store is unavailable */
    uint8_t fleet_key[FLEET_KEY_BYTES];
    char tls_certificate[FILE_PATH_BYTES]; /* empty: no TLS */
    char tls_key[FILE_PATH_BYTES];
    LgLevel log_level;
    char log_file[FILE_PATH_BYTES]; /* empty: standard error */
} Settings;

/* Reads and checks a file.  The error gives file, group, key, the value found,
 * the values allowed and the remedy.  Errors: ERR_IO, ERR_SYNTAX, ERR_VALUE,
 * ERR_LIMIT. */
bool settings_read(Settings *s, const char *file, Err *e);

/* Like settings_read(), for mimosactl: [vm] and [listen] are not required. */
bool settings_read_operator(Settings *s, const char *file, Err *e);

/* Splits "IP:PORT" or "[IP6]:PORT" into host and port.  Host names are not
 * accepted.  Errors: ERR_VALUE. */
bool settings_address(const char *text, char *host, size_t host_cap,
                      uint16_t *port, Err *e);

#endif
