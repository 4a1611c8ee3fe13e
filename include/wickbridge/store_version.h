/**
 * @file store_version.h
 * @brief Versions of a store that may come back from an older copy.
 *
 * The store numbers its transactions. When it comes back from a copy, its counter goes back too,
 * numbers are given out again, and its era rises by one. So a version is the pair of both, packed
 * into one integer: versions compare as integers, and any version of an era is newer than all of
 * earlier eras. Bare numbers exist only in adapters of a store and in encoded messages.
 *
 * Pure. The functions can't fail.
 */
#ifndef WICKBRIDGE_STORE_VERSION_H
#define WICKBRIDGE_STORE_VERSION_H

#include <glib.h>
#include <stdint.h>

/** Bits of the number; the era has the bits above. */
#define WB_STORE_NUMBER_BITS 44
#define WB_STORE_NUMBER_MAX ((INT64_C(1) << WB_STORE_NUMBER_BITS) - 1)
#define WB_STORE_ERA_MAX ((INT64_C(1) << (62 - WB_STORE_NUMBER_BITS)) - 1)

/** @return the version with this number in an era. Larger values are clamped. */
static inline int64_t wb_store_version(int64_t era, int64_t number) {
    return CLAMP(era, 0, WB_STORE_ERA_MAX) << WB_STORE_NUMBER_BITS |
           CLAMP(number, 0, WB_STORE_NUMBER_MAX);
}

static inline int64_t wb_store_version_era(int64_t version) {
    return version >> WB_STORE_NUMBER_BITS;
}

static inline int64_t wb_store_version_number(int64_t version) {
    return version & WB_STORE_NUMBER_MAX;
}

#endif
