package operator

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type schemaObject struct {
	Ref                  string                     `json:"$ref"`
	Type                 string                     `json:"type"`
	AdditionalProperties *bool                      `json:"additionalProperties"`
	Required             []string                   `json:"required"`
	Properties           map[string]json.RawMessage `json:"properties"`
}

type schemaProperty struct {
	Ref   string          `json:"$ref"`
	Type  string          `json:"type"`
	Enum  []string        `json:"enum"`
	Items *schemaProperty `json:"items"`
}

// TestSchemaMatchesTypes guards against a schema that refuses a field that the system
// accepts, or accepts a field that the system refuses.
func TestSchemaMatchesTypes(t *testing.T) {
	data, err := os.ReadFile("schema.json")
	require.NoError(t, err)
	var schema struct {
		Ref  string                  `json:"$ref"`
		Defs map[string]schemaObject `json:"$defs"`
	}
	require.NoError(t, json.Unmarshal(data, &schema))
	require.Equal(t, "#/$defs/Document", schema.Ref)
	seen := map[string]bool{"Name": true}
	checkStruct(t, schema.Defs, reflect.TypeFor[Document](), seen)
	for name := range schema.Defs {
		assert.True(t, seen[name], "%s is not used by the document", name)
	}
}

// checkStruct compares the properties of a struct type, and of the types of its fields,
// with the definition of the same name. It adds the compared types to seen.
func checkStruct(t *testing.T, defs map[string]schemaObject, typ reflect.Type, seen map[string]bool) {
	if seen[typ.Name()] {
		return
	}
	seen[typ.Name()] = true
	object, ok := defs[typ.Name()]
	require.True(t, ok, "%s has no definition", typ.Name())
	require.NotNil(t, object.AdditionalProperties, typ.Name())
	assert.False(t, *object.AdditionalProperties, typ.Name())
	var names, required []string
	for field := range typ.Fields() {
		name, options, _ := strings.Cut(field.Tag.Get("json"), ",")
		names = append(names, name)
		if options != "omitempty" {
			required = append(required, name)
		}
		var p schemaProperty
		require.NoError(t, json.Unmarshal(object.Properties[name], &p), "%s.%s", typ.Name(), name)
		checkProperty(t, defs, field.Type, p, typ.Name()+"."+name, seen)
	}
	var properties []string
	for name := range object.Properties {
		properties = append(properties, name)
	}
	assert.ElementsMatch(t, names, properties, typ.Name())
	assert.ElementsMatch(t, required, object.Required, typ.Name())
}

// checkProperty compares the type of a field with its property in the schema.
func checkProperty(t *testing.T, defs map[string]schemaObject, typ reflect.Type, p schemaProperty, path string, seen map[string]bool) {
	switch typ.Kind() {
	case reflect.Struct:
		assert.Equal(t, "#/$defs/"+typ.Name(), p.Ref, path)
		checkStruct(t, defs, typ, seen)
	case reflect.Slice:
		assert.Equal(t, "array", p.Type, path)
		require.NotNil(t, p.Items, path)
		checkProperty(t, defs, typ.Elem(), *p.Items, path+"[]", seen)
	case reflect.String:
		assert.True(t, p.Type == "string" || p.Ref == "#/$defs/Name" || len(p.Enum) > 0, path)
	case reflect.Bool:
		assert.Equal(t, "boolean", p.Type, path)
	case reflect.Float64:
		assert.Equal(t, "number", p.Type, path)
	default:
		assert.Equal(t, "integer", p.Type, path)
	}
}

// TestPrintHasNoNull guards against a printed document that the schema refuses because a
// list of the document is nil.
func TestPrintHasNoNull(t *testing.T) {
	doc := &Document{Customers: []Customer{{Name: "coop"}}}
	var b bytes.Buffer
	require.NoError(t, doc.Print(&b))
	assert.NotContains(t, b.String(), "null")
	assert.Nil(t, doc.Customers[0].Keys, "the caller's document was changed")
}
