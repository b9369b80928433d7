#pragma once

/// Compile-time defaults. Define a macro before including this header, or on the compiler's command line, to override.

/// Largest manifest accepted, in bytes. The platform stores values up to 1 MB.
#ifndef FULMARLEDGE_CONFIG_MAX_MANIFEST_BYTES
#define FULMARLEDGE_CONFIG_MAX_MANIFEST_BYTES 1000000
#endif

/// Acceptances listed in the `head` object. Bounds how far back a lost submission can be looked up.
#ifndef FULMARLEDGE_CONFIG_HEAD_RECENT
#define FULMARLEDGE_CONFIG_HEAD_RECENT 32
#endif

/// Manifests kept by each node to compute deltas for peers that lag.
#ifndef FULMARLEDGE_CONFIG_KEPT_MANIFESTS
#define FULMARLEDGE_CONFIG_KEPT_MANIFESTS 16
#endif

/// Largest control datagram, in bytes. Stays below a 1,500-byte link after IP and UDP headers.
#ifndef FULMARLEDGE_CONFIG_MAX_DATAGRAM_BYTES
#define FULMARLEDGE_CONFIG_MAX_DATAGRAM_BYTES 1200
#endif

/// Nodes per zone that hold a watch on the platform.
#ifndef FULMARLEDGE_CONFIG_WATCHERS_PER_ZONE
#define FULMARLEDGE_CONFIG_WATCHERS_PER_ZONE 3
#endif

/// Hash buckets of the host table used by anti-entropy.
#ifndef FULMARLEDGE_CONFIG_TABLE_BUCKETS
#define FULMARLEDGE_CONFIG_TABLE_BUCKETS 64
#endif

/// Largest length-prefixed frame accepted from a peer, in bytes.
#ifndef FULMARLEDGE_CONFIG_MAX_FRAME_BYTES
#define FULMARLEDGE_CONFIG_MAX_FRAME_BYTES (64 * 1024 * 1024)
#endif
