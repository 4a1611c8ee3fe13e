/* What the unit tests share. */
#ifndef WICKBRIDGE_UNIT_H
#define WICKBRIDGE_UNIT_H

void settings_tests_add(void);
void member_tests_add(void);
void queue_tests_add(void);
void group_tests_add(void);
void cell_tests_add(void);
void declaration_tests_add(void);
void message_tests_add(void);
void policy_tests_add(void);
void edge_tests_add(void);
void table_watch_tests_add(void);
void target_tests_add(void);

#endif
