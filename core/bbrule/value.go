package bbrule

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Scales of the decimal numbers, so that texts and values convert both ways exactly.
const (
	// shareUnits is how many units of a share make the whole: hundredths of a percent.
	shareUnits    = 10_000
	shareDecimals = 2
	// costUnits is how many units of a price make one of the currency.
	costUnits    = 1_000_000
	costDecimals = 6
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

// value returns the value of a key or its default, and false when it has neither.
func (l *line) value(key string) (word, bool) {
	if w, ok := l.given(key); ok {
		return w, true
	}
	w := word{
		column: l.start.column,
		text:   l.kind.key(key).Default,
	}
	return w, w.text != ""
}

// badValue reports a value that has not the form of its key.
func (p *parser) badValue(l *line, key string, w word) {
	p.find(l.number, w.column, CheckValue, "%s=%q is not %s", key, w.text, l.kind.key(key).Form)
}

// inRange reports values out of bounds and passes the others on.
func inRange[T int | int64 | time.Duration](p *parser, l *line, key string, w word, value, low, high T) T {
	if value < low || value > high {
		p.find(l.number, w.column, CheckRange, "%s=%s is out of range: %s", key, w.text, l.kind.key(key).Form)
	}
	return value
}

// name returns the value of a key that holds a name, without text if it is left out.
func (p *parser) name(l *line, key string) word {
	w, given := l.given(key)
	if given && !isName(w.text) {
		p.find(l.number, w.column, CheckName, "%s=%q is not a name", key, w.text)
	}
	return w
}

// number returns the value of a key that holds a whole number.
func (p *parser) number(l *line, key string, low, high int) int {
	w, _ := l.value(key)
	value, err := strconv.ParseUint(w.text, 10, 31)
	if err != nil {
		p.badValue(l, key, w)
		return low
	}
	return inRange(p, l, key, w, int(value), low, high)
}

// duration returns the value of a key that holds a duration.
func (p *parser) duration(l *line, key string, low, high time.Duration) time.Duration {
	w, _ := l.value(key)
	value, err := time.ParseDuration(w.text)
	if err != nil {
		p.badValue(l, key, w)
		return low
	}
	return inRange(p, l, key, w, value, low, high)
}

// size returns the value of a key that holds a size in bytes.
func (p *parser) size(l *line, key string, low, high int64) int64 {
	w, given := l.value(key)
	if !given {
		return low
	}
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(w.text, u.suffix)
		if !ok {
			continue
		}
		count, err := strconv.ParseUint(digits, 10, 63)
		if err != nil {
			break
		}
		if count > uint64(math.MaxInt64/u.bytes) {
			return inRange(p, l, key, w, math.MaxInt64, low, high)
		}
		return inRange(p, l, key, w, int64(count)*u.bytes, low, high)
	}
	p.badValue(l, key, w)
	return low
}

// yesNo returns the value of a key that holds yes or no.
func (p *parser) yesNo(l *line, key string) bool {
	w, _ := l.value(key)
	if w.text != "yes" && w.text != "no" {
		p.badValue(l, key, w)
	}
	return w.text == "yes"
}

// share returns the value of a key that holds a percentage, as a part of one.
func (p *parser) share(l *line, key string, high int64) float64 {
	w, _ := l.value(key)
	digits, ok := strings.CutSuffix(w.text, "%")
	units, valid := parseDecimal(digits, shareDecimals)
	if !ok || !valid {
		p.badValue(l, key, w)
		return 0
	}
	return float64(inRange(p, l, key, w, units, 0, high)) / shareUnits
}

// price returns the value of a key that holds a price.
func (p *parser) price(l *line, key string, high int64) float64 {
	w, _ := l.value(key)
	units, ok := parseDecimal(w.text, costDecimals)
	if !ok {
		p.badValue(l, key, w)
		return 0
	}
	return float64(inRange(p, l, key, w, units, 0, high)) / costUnits
}

// address returns the value of a key that holds an IP number and port in its
// usual form, and false for anything else.
func (p *parser) address(l *line, key string) (word, bool) {
	w, given := l.given(key)
	if !given {
		return w, false
	}
	parsed, err := netip.ParseAddrPort(w.text)
	if err != nil || parsed.Port() == 0 || parsed.Addr().Zone() != "" {
		p.badValue(l, key, w)
		return w, false
	}
	w.text = parsed.String()
	return w, true
}

// parseDecimal reads a decimal number with at most that many decimals and returns
// it times ten to their power.
func parseDecimal(text string, decimals int) (int64, bool) {
	whole, part, hasPoint := strings.Cut(text, ".")
	if hasPoint && part == "" || len(part) > decimals {
		return 0, false
	}
	digits := whole + part + strings.Repeat("0", decimals-len(part))
	value, err := strconv.ParseUint(digits, 10, 62)
	return int64(value), err == nil && whole != ""
}

// formatDecimal writes what parseDecimal reads.
func formatDecimal(units int64, decimals int) string {
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

// formatSize writes a size in the largest unit that holds it exactly.
func formatSize(bytes int64) string {
	for _, u := range sizeUnits {
		if bytes%u.bytes == 0 && bytes >= u.bytes {
			return strconv.FormatInt(bytes/u.bytes, 10) + u.suffix
		}
	}
	return "0B"
}

// isName tells whether the text is a name.
func isName(text string) bool {
	if text == "" || len(text) > maxNameBytes || !isLetterOrDigit(text[0]) {
		return false
	}
	for i := range len(text) {
		if !isLetterOrDigit(text[i]) && !strings.ContainsRune("._-", rune(text[i])) {
			return false
		}
	}
	return true
}

// isPath tells whether the text is names with slashes between.
func isPath(text string) bool {
	if len(text) > maxPathBytes {
		return false
	}
	for part := range strings.SplitSeq(text, "/") {
		if !isName(part) {
			return false
		}
	}
	return true
}

func isLetterOrDigit(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
}
