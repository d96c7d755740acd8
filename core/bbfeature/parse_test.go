package bbfeature

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// An invalid file that is taken as valid, or of which only the first error is reported, would cost the
// operator one start for each error.
func TestParse(t *testing.T) {
	changed := Settings{
		Waiting:       ModeOff,
		EndpointSpeed: ModeOn,
		ExtraSends: ExtraSends{
			Mode:     ModeOn,
			Share:    0.5,
			Services: map[string]float64{"search": 0, "ads": 0.02},
		},
	}
	for name, c := range map[string]struct {
		text     string
		want     Settings
		findings []string
	}{
		"defaults": {text: "{}", want: Default()},
		"all": {
			text: `{"waiting": "off", "endpointSpeed": "on",
				"extraSends": {"mode": "on", "share": 0.5, "services": {"search": 0, "ads": 2e-2}}}` + "\n",
			want: changed,
		},
		"all findings": {
			text: "{\n\"waiting\": \"yes\",\n\"Waiting\": \"on\",\n\"extraSends\": {\n\"share\": 0.51,\n\"services\": {\"a\": -1,\n\"b\": \"0.1\", \"\": 0}},\n\"waiting\":\n true}",
			findings: []string{
				`line 2: waiting: is not auto, on or off: "yes"`,
				`line 3: Waiting: is not a known field`,
				`line 5: extraSends.share: is not a number from 0 to 0.5: 0.51`,
				`line 6: extraSends.services.a: is not a number from 0 to 0.5: -1`,
				`line 7: extraSends.services.b: is not a number from 0 to 0.5: "0.1"`,
				`line 7: extraSends.services.: has no name of a service`,
				`line 9: waiting: is set more than once`,
				`line 9: waiting: is not auto, on or off: true`,
			},
		},
		"null":       {text: `{"extraSends": null, "waiting": null}`, findings: []string{`line 1: extraSends: is not an object`, `line 1: waiting: is not auto, on or off: null`}},
		"not finite": {text: "{\"extraSends\":\n{\"share\": 1e999}}", findings: []string{`line 2: extraSends.share: is not a number from 0 to 0.5: 1e999`}},
		"NaN":        {text: "{\"extraSends\": {\"share\":\n\n NaN}}", findings: []string{`line 3: invalid character 'N' looking for beginning of value`}},
		"list":       {text: "[]", findings: []string{`line 1: is not an object`}},
		"empty":      {text: "", findings: []string{`line 1: the text ends before the settings are complete`}},
		"cut":        {text: "{\n\"waiting\": \"on\"\n", findings: []string{`line 2: the text ends before the settings are complete`}},
		"two values": {text: "{}\n{}", findings: []string{`line 2: text after the end of the settings`}},
	} {
		t.Run(name, func(t *testing.T) {
			got, findings := Parse([]byte(c.text))
			var texts []string
			for _, f := range findings {
				texts = append(texts, f.String())
			}
			if diff := cmp.Diff(c.findings, texts); diff != "" {
				t.Fatalf("findings (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.want, got); len(c.findings) == 0 && diff != "" {
				t.Errorf("settings (-want +got):\n%s", diff)
			}
		})
	}
}
