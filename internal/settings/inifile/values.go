package inifile

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

var durationType = reflect.TypeFor[time.Duration]()

// allowedDescriber describes how values of a type are written.
type allowedDescriber interface{ Allowed() string }

// setValue parses text into v according to v's type.
func setValue(v reflect.Value, text string) error {
	if reader, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return reader.UnmarshalText([]byte(text))
	}
	if v.Type() == durationType {
		d, err := parseDuration(text)
		v.SetInt(int64(d))
		return err
	}
	return setBasic(v, text)
}

func setBasic(v reflect.Value, text string) error {
	var err error
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		err = setBool(v, text)
	case reflect.Int, reflect.Int32, reflect.Int64:
		var n int64
		n, err = strconv.ParseInt(text, 10, v.Type().Bits())
		v.SetInt(n)
	case reflect.Float64:
		var f float64
		f, err = strconv.ParseFloat(text, 64)
		if math.IsNaN(f) || math.IsInf(f, 0) {
			err = ErrValue
		}
		v.SetFloat(f)
	case reflect.Slice:
		v.Set(reflect.ValueOf(splitList(text)))
	default:
		panic(fmt.Sprintf("inifile: unsupported type %s", v.Type()))
	}
	if err != nil {
		return errors.Wrapf(ErrValue, "%q can't be read", text)
	}
	return nil
}

func setBool(v reflect.Value, text string) error {
	if text != "true" && text != "false" {
		return ErrValue
	}
	v.SetBool(text == "true")
	return nil
}

// formatValue formats v so that setValue parses it back to an equal value.
func formatValue(v reflect.Value) string {
	if writer, ok := v.Interface().(encoding.TextMarshaler); ok {
		text, err := writer.MarshalText()
		if err != nil {
			panic(fmt.Sprintf("inifile: %v", err))
		}
		return string(text)
	}
	switch value := v.Interface().(type) {
	case time.Duration:
		return formatDuration(value)
	case []string:
		return strings.Join(value, ", ")
	default:
		return fmt.Sprint(value)
	}
}

// check returns an error if a parsed value is empty, out of range, between steps or not one of the allowed words.
func (k *keySpec) check(v reflect.Value, text string) error {
	if k.oneOf != "" && !slices.Contains(strings.Fields(k.oneOf), v.String()) {
		return errors.Wrapf(ErrValue, "%q is not an allowed value", text)
	}
	if v.Kind() == reflect.String && !k.optional && text == "" {
		return errors.Wrap(ErrValue, "the value is empty")
	}
	below := k.minimum != "" && k.compare(v, k.minimum) < 0
	above := k.maximum != "" && k.compare(v, k.maximum) > 0
	if below || above {
		return errors.Wrapf(ErrValue, "%s is out of range", text)
	}
	if k.step != "" && v.Int()%k.parse(k.step).Int() != 0 {
		return errors.Wrapf(ErrValue, "%s is not a multiple of %s", text, k.step)
	}
	return nil
}

// parse parses a bound or a step, which is written like a value.
func (k *keySpec) parse(text string) reflect.Value {
	v := reflect.New(k.typ).Elem()
	if err := setValue(v, text); err != nil {
		panic(fmt.Sprintf("inifile: tag of %s: %v", k.name, err))
	}
	return v
}

func (k *keySpec) compare(v reflect.Value, bound string) int {
	limit := k.parse(bound)
	switch {
	case number(v) < number(limit):
		return -1
	case number(v) > number(limit):
		return 1
	default:
		return 0
	}
}

func number(v reflect.Value) float64 {
	if v.Kind() == reflect.Float64 {
		return v.Float()
	}
	return float64(v.Int())
}

// allowed describes the values that the key accepts.
func (k *keySpec) allowed() string {
	text := k.typeAllowed()
	switch {
	case k.minimum != "" && k.maximum != "":
		text += fmt.Sprintf(", from %s to %s", k.minimum, k.maximum)
	case k.minimum != "":
		text += fmt.Sprintf(", at least %s", k.minimum)
	case k.maximum != "":
		text += fmt.Sprintf(", at most %s", k.maximum)
	}
	if k.step != "" {
		text += fmt.Sprintf(", a multiple of %s", k.step)
	}
	return text
}

func (k *keySpec) typeAllowed() string {
	if k.oneOf != "" {
		return "one of " + strings.Join(strings.Fields(k.oneOf), ", ")
	}
	if d, ok := reflect.Zero(k.typ).Interface().(allowedDescriber); ok {
		return d.Allowed()
	}
	if k.typ == durationType {
		return durationAllowed
	}
	switch k.typ.Kind() {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list, its parts separated by commas"
	default:
		return "a whole number"
	}
}
