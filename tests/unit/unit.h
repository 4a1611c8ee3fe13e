/**
 * @file unit.h
 * @brief What the unit tests share: each module's tests are a program of their own.
 */
#ifndef WICKBRIDGE_UNIT_H
#define WICKBRIDGE_UNIT_H

#include <apr_general.h>
#include <glib.h>

/** The main function of a module's tests. @param tests_add adds them all */
#define UNIT_TEST_MAIN(tests_add)                                                                  \
    int main(int argc, char **argv) {                                                              \
        g_test_init(&argc, &argv, NULL);                                                           \
        apr_initialize();                                                                          \
        tests_add();                                                                               \
        return g_test_run();                                                                       \
    }

#endif
