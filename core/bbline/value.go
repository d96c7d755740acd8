package bbline

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Units of the decimal numbers. They are integers, so that converting to text and back is exact.
const (
	// ShareUnits is the number of units in the whole: a unit is a hundredth of a percent.
	ShareUnits    = 10_000
	ShareDecimals = 2
	// CostUnits is the number of units in one unit of the currency.
	CostUnits    = 1_000_000
	CostDecimals = 6
)

// sizeUnit is a unit of sizes.
type sizeUnit struct {
	suffix string
	bytes  int64
}

// sizeUnits lists the units of sizes, largest first.
var sizeUnits = []sizeUnit{
	{suffix: "TB", bytes: 1e12},
	{suffix: "GB", bytes: 1e9},
	{suffix: "MB", bytes: 1e6},
	{suffix: "KB", bytes: 1e3},
	{suffix: "B", bytes: 1},
}

// Value returns the value of a key or its default, and false when there is neither.
func (l *Line) Value(key string) (Word, bool) {
	if w, ok := l.Given(key); ok {
		return w, true
	}
	w := Word{
		Column: l.Start.Column,
		Text:   l.Kind.findKey(key).Default,
	}
	return w, w.Text != ""
}

// ReportBadValue adds a finding for a value that doesn't have the form of its key.
func (r *Reader) ReportBadValue(l *Line, key string, w Word) {
	r.AddFinding(l.Number, w.Column, CheckValue, "%s=%q is not %s", key, w.Text, l.Kind.findKey(key).Form)
}

// inRange adds a finding if the value is out of bounds, and returns the value in any case.
func inRange[T int | int64 | time.Duration](r *Reader, l *Line, key string, w Word, value, low, high T) T {
	if value < low || value > high {
		r.AddFinding(l.Number, w.Column, CheckRange, "%s=%s is out of range: %s", key, w.Text, l.Kind.findKey(key).Form)
	}
	return value
}

// Name returns the value of a key that holds a name; its text is empty if the key is left out.
func (r *Reader) Name(l *Line, key string) Word {
	w, given := l.Given(key)
	if given && !IsName(w.Text) {
		r.AddFinding(l.Number, w.Column, CheckName, "%s=%q is not a name", key, w.Text)
	}
	return w
}

// Number returns the value of a key that holds a whole number.
func (r *Reader) Number(l *Line, key string, low, high int) int {
	w, _ := l.Value(key)
	value, err := strconv.ParseUint(w.Text, 10, 31)
	if err != nil {
		r.ReportBadValue(l, key, w)
		return low
	}
	return inRange(r, l, key, w, int(value), low, high)
}

// Duration returns the value of a key that holds a duration.
func (r *Reader) Duration(l *Line, key string, low, high time.Duration) time.Duration {
	w, _ := l.Value(key)
	value, err := time.ParseDuration(w.Text)
	if err != nil {
		r.ReportBadValue(l, key, w)
		return low
	}
	return inRange(r, l, key, w, value, low, high)
}

// Size returns the value of a key that holds a size in bytes.
func (r *Reader) Size(l *Line, key string, low, high int64) int64 {
	w, given := l.Value(key)
	if !given {
		return low
	}
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(w.Text, u.suffix)
		if !ok {
			continue
		}
		count, err := strconv.ParseUint(digits, 10, 63)
		if err != nil {
			break
		}
		if count > uint64(math.MaxInt64/u.bytes) {
			return inRange(r, l, key, w, math.MaxInt64, low, high)
		}
		return inRange(r, l, key, w, int64(count)*u.bytes, low, high)
	}
	r.ReportBadValue(l, key, w)
	return low
}

// YesNo returns the value of a key that holds yes or no.
func (r *Reader) YesNo(l *Line, key string) bool {
	w, _ := l.Value(key)
	if w.Text != "yes" && w.Text != "no" {
		r.ReportBadValue(l, key, w)
	}
	return w.Text == "yes"
}

// Share returns the value of a key that holds a percentage, as a fraction of one.
func (r *Reader) Share(l *Line, key string, high int64) float64 {
	w, _ := l.Value(key)
	digits, ok := strings.CutSuffix(w.Text, "%")
	units, valid := parseDecimal(digits, ShareDecimals)
	if !ok || !valid {
		r.ReportBadValue(l, key, w)
		return 0
	}
	return float64(inRange(r, l, key, w, units, 0, high)) / ShareUnits
}

// Price returns the value of a key that holds a price.
func (r *Reader) Price(l *Line, key string, high int64) float64 {
	w, _ := l.Value(key)
	units, ok := parseDecimal(w.Text, CostDecimals)
	if !ok {
		r.ReportBadValue(l, key, w)
		return 0
	}
	return float64(inRange(r, l, key, w, units, 0, high)) / CostUnits
}

// Address returns the value of a key that holds an IP address and port, in its canonical
// form, and false for anything else.
func (r *Reader) Address(l *Line, key string) (Word, bool) {
	w, given := l.Given(key)
	if !given {
		return w, false
	}
	parsed, err := netip.ParseAddrPort(w.Text)
	if err != nil || parsed.Port() == 0 || parsed.Addr().Zone() != "" {
		r.ReportBadValue(l, key, w)
		return w, false
	}
	w.Text = parsed.String()
	return w, true
}

// parseDecimal parses a decimal number with at most the given number of decimals and
// returns it multiplied by ten to the power of that number.
func parseDecimal(text string, decimals int) (int64, bool) {
	whole, part, hasPoint := strings.Cut(text, ".")
	if hasPoint && part == "" || len(part) > decimals {
		return 0, false
	}
	digits := whole + part + strings.Repeat("0", decimals-len(part))
	value, err := strconv.ParseUint(digits, 10, 62)
	return int64(value), err == nil && whole != ""
}

// FormatDecimal is the inverse of parseDecimal.
func FormatDecimal(units int64, decimals int) string {
	digits := strconv.FormatInt(units, 10)
	if len(digits) <= decimals {
		digits = strings.Repeat("0", decimals+1-len(digits)) + digits
	}
	whole := digits[:len(digits)-decimals]
	part := strings.TrimRight(digits[len(digits)-decimals:], "0")
	if part == "" {
		return whole
	}
	return whole + "." + part
}

// FormatSize formats a size in the largest unit of which it is a multiple.
func FormatSize(bytes int64) string {
	for _, u := range sizeUnits {
		if bytes%u.bytes == 0 && bytes >= u.bytes {
			return strconv.FormatInt(bytes/u.bytes, 10) + u.suffix
		}
	}
	return "0B"
}

// IsName reports whether the text is a valid name.
func IsName(text string) bool {
	if text == "" || len(text) > MaxNameBytes || !isLetterOrDigit(text[0]) {
		return false
	}
	for i := range len(text) {
		if !isLetterOrDigit(text[i]) && !strings.ContainsRune("._-", rune(text[i])) {
			return false
		}
	}
	return true
}

// IsPath reports whether the text consists of names separated by slashes.
func IsPath(text string) bool {
	if len(text) > maxPathBytes {
		return false
	}
	for part := range strings.SplitSeq(text, "/") {
		if !IsName(part) {
			return false
		}
	}
	return true
}

func isLetterOrDigit(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
}
