/* Reads declarations from YAML files and records the line of each declaration and member. Errors
 * are APR_EINVAL with "file:line: reason". */
#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

/* State while reading one file. */
typedef struct file_reader_t {
    const char *file;
    ctl_declarations_t *declarations;
    wb_error_t *error;
} file_reader_t;

static void line_record(const file_reader_t *reader, const char *key, const char *member,
                        const yaml_node_t *node) {
    char *line_key = *member != '\0' ? g_strconcat(key, ".", member, NULL) : g_strdup(key);
    g_hash_table_replace(reader->declarations->lines, line_key,
                         g_strdup_printf("%s:%zu", reader->file, node->start_mark.line + 1));
}

static apr_status_t reader_error(const file_reader_t *reader, const yaml_node_t *node,
                                 const char *message) {
    return wb_error_set(reader->error, APR_EINVAL, "%s:%zu: %s", reader->file,
                        node != NULL ? node->start_mark.line + 1 : 1, message);
}

static const char *scalar_text(const yaml_node_t *node) {
    return node != NULL && node->type == YAML_SCALAR_NODE ? (const char *)node->data.scalar.value
                                                          : NULL;
}

/* Plain scalars may be integers or booleans; quoted ones are strings. */
static json_t *scalar_convert(const yaml_node_t *node) {
    const char *text = (const char *)node->data.scalar.value;
    if (node->data.scalar.style != YAML_PLAIN_SCALAR_STYLE)
        return json_string(text);
    if (strcmp(text, "true") == 0 || strcmp(text, "false") == 0)
        return json_boolean(strcmp(text, "true") == 0);
    char *end;
    int64_t number = g_ascii_strtoll(text, &end, 10);
    if (end != text && *end == '\0')
        return json_integer((json_int_t)number);
    return json_string(text);
}

static const yaml_node_t *member_find(yaml_document_t *document, const yaml_node_t *mapping,
                                      const char *name) {
    for (yaml_node_pair_t *pair = mapping->data.mapping.pairs.start;
         pair < mapping->data.mapping.pairs.top; pair++) {
        const char *key = scalar_text(yaml_document_get_node(document, pair->key));
        if (key != NULL && strcmp(key, name) == 0)
            return yaml_document_get_node(document, pair->value);
    }
    return NULL;
}

static apr_status_t members_read(const file_reader_t *reader, yaml_document_t *document,
                                 const yaml_node_t *root, const char *key, json_t *object) {
    for (yaml_node_pair_t *pair = root->data.mapping.pairs.start;
         pair < root->data.mapping.pairs.top; pair++) {
        const yaml_node_t *name_node = yaml_document_get_node(document, pair->key);
        const yaml_node_t *value = yaml_document_get_node(document, pair->value);
        const char *name = scalar_text(name_node);
        if (name == NULL || value->type != YAML_SCALAR_NODE)
            return reader_error(reader, name_node, "a member must be one name and one value");
        if (strcmp(name, "kind") == 0 || strcmp(name, "name") == 0)
            continue;
        if (json_object_get(object, name) != NULL)
            return reader_error(reader, name_node, "this member stands twice");
        json_object_set_new(object, name, scalar_convert(value));
        line_record(reader, key, name, name_node);
    }
    return APR_SUCCESS;
}

static apr_status_t document_read(const file_reader_t *reader, yaml_document_t *document) {
    const yaml_node_t *root = yaml_document_get_root_node(document);
    if (root->type != YAML_MAPPING_NODE)
        return reader_error(reader, root, "a declaration must be a mapping with kind and name");
    const char *kind = scalar_text(member_find(document, root, "kind"));
    const char *name = scalar_text(member_find(document, root, "name"));
    if (kind == NULL || name == NULL)
        return reader_error(reader, root, "a declaration needs a kind and a name");
    g_autofree char *key = g_strconcat(kind, "/", name, NULL);
    const char *other = g_hash_table_lookup(reader->declarations->lines, key);
    if (other != NULL)
        return wb_error_set(reader->error, APR_EINVAL, "%s:%zu: %s is declared at %s already",
                            reader->file, root->start_mark.line + 1, key, other);
    line_record(reader, key, "", root);
    json_t *object = json_object();
    json_object_set_new(reader->declarations->objects, key, object);
    return members_read(reader, document, root, key, object);
}

static apr_status_t file_read(const char *path, ctl_declarations_t *declarations,
                              wb_error_t *error) {
    file_reader_t reader = {path, declarations, error};
    FILE *file = fopen(path, "rb");
    if (file == NULL)
        return wb_error_set(error, APR_EINVAL, "%s: it can't be opened", path);
    yaml_parser_t parser;
    yaml_parser_initialize(&parser);
    yaml_parser_set_input_file(&parser, file);
    apr_status_t status = APR_SUCCESS;
    for (gboolean more = TRUE; more && status == APR_SUCCESS;) {
        yaml_document_t document;
        if (!yaml_parser_load(&parser, &document)) {
            status = wb_error_set(error, APR_EINVAL, "%s:%zu: %s", path,
                                  parser.problem_mark.line + 1, parser.problem);
            break;
        }
        more = yaml_document_get_root_node(&document) != NULL;
        if (more)
            status = document_read(&reader, &document);
        yaml_document_delete(&document);
    }
    yaml_parser_delete(&parser);
    fclose(file);
    return status;
}

static gint text_compare(gconstpointer left, gconstpointer right) {
    return strcmp(*(const char *const *)left, *(const char *const *)right);
}

static apr_status_t folder_read(const char *path, ctl_declarations_t *declarations,
                                wb_error_t *error) {
    GDir *folder = g_dir_open(path, 0, NULL);
    if (folder == NULL)
        return wb_error_set(error, APR_EINVAL, "%s: it can't be opened", path);
    g_autoptr(GPtrArray) files = g_ptr_array_new_with_free_func(g_free);
    const char *name;
    while ((name = g_dir_read_name(folder)) != NULL)
        if (g_str_has_suffix(name, ".yaml") || g_str_has_suffix(name, ".yml"))
            g_ptr_array_add(files, g_build_filename(path, name, NULL));
    g_dir_close(folder);
    g_ptr_array_sort(files, text_compare);
    if (files->len == 0)
        return wb_error_set(error, APR_EINVAL, "%s: there are no .yaml files in it", path);
    apr_status_t status = APR_SUCCESS;
    for (guint i = 0; i < files->len && status == APR_SUCCESS; i++)
        status = file_read(files->pdata[i], declarations, error);
    return status;
}

apr_status_t ctl_declarations_read(const char *path, ctl_declarations_t *declarations,
                                   wb_error_t *error) {
    declarations->objects = json_object();
    declarations->lines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    if (g_file_test(path, G_FILE_TEST_IS_DIR))
        return folder_read(path, declarations, error);
    return file_read(path, declarations, error);
}

void ctl_declarations_clear(ctl_declarations_t *declarations) {
    json_decref(declarations->objects);
    g_hash_table_unref(declarations->lines);
}

const char *ctl_declarations_locate(const ctl_declarations_t *declarations,
                                    const wb_config_fault_t *fault) {
    g_autofree char *line_key = g_strconcat(fault->key, ".", fault->member, NULL);
    const char *location = g_hash_table_lookup(declarations->lines, line_key);
    if (location == NULL)
        location = g_hash_table_lookup(declarations->lines, fault->key);
    return location != NULL ? location : "in force already";
}
