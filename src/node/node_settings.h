/* The table of wickbridged's settings (wb_node_settings_t). Units and bounds are in the table;
 * wb_settings_read reports invalid values. */
#ifndef WICKBRIDGE_NODE_SETTINGS_H
#define WICKBRIDGE_NODE_SETTINGS_H

#include "wickbridge/node.h"
#include "wickbridge/settings.h"

extern const wb_settings_table_t wb_node_settings_table;

#endif
