/*
 * t - main function of a test program that uses the Check library.
 *
 * T_MAIN("suite", test_a, test_b, ...) defines main(), which runs the tests
 * and fails when one of them fails.
 */
#ifndef MIMOSA_T_H
#define MIMOSA_T_H

#include <stdlib.h>

#include <check.h>

#define T_TIMEOUT_S 120 /* for each test */

#define T_MAIN(name, ...)                                                     \
    int main(void)                                                            \
    {                                                                         \
        const TTest *const tests[] = {__VA_ARGS__};                           \
        Suite *suite = suite_create(name);                                    \
        TCase *tcase = tcase_create(name);                                    \
        tcase_set_timeout(tcase, T_TIMEOUT_S);                                \
        for (size_t i = 0; i < sizeof(tests) / sizeof(tests[0]); i++) {       \
            tcase_add_test(tcase, tests[i]);                                  \
        }                                                                     \
        suite_add_tcase(suite, tcase);                                        \
        SRunner *runner = srunner_create(suite);                              \
        srunner_run_all(runner, CK_NORMAL);                                   \
        int failed = srunner_ntests_failed(runner);                           \
        srunner_free(runner);                                                 \
        return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;                     \
    }

#endif
