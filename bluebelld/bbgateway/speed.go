package bbgateway

import (
	"net/http"

	"bluebellhall/bluebelld/bbchannel"
	"bluebellhall/bluebelld/bbcodec"
	"bluebellhall/core/bbhealth"
	"bluebellhall/core/bbplain"
	"bluebellhall/core/bbspeed"
	"bluebellhall/core/bbstanding"
)

// chooseEndpoint selects one of the endpoints for the request, by measured times where machines are shared.
func (g *Gateway) chooseEndpoint(x *exchange, list []bbplain.Endpoint, avoid map[string]bool) (bbplain.Endpoint, bool) {
	from := bbplain.Location{
		Zone:   g.zone,
		Region: g.region,
	}
	measured := g.hooks.EndpointSpeed.Enabled(g.hooks.SharedMachines())
	g.mu.Lock()
	defer g.mu.Unlock()
	if measured {
		return g.chooser.ChooseMeasured(g.hooks.Now(), x.service, list, from, avoid)
	}
	return g.chooser.Choose(g.hooks.Now(), list, from, avoid)
}

// recordAnswer records what the head of an answer to a plain request shows of its endpoint. It is called as soon as
// the head has arrived.
func (g *Gateway) recordAnswer(x *exchange, e bbplain.Endpoint, p bbstanding.Process, r run, a *bbchannel.Answer, reading bbcodec.AnswerInfo) {
	now := g.hooks.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.Answered(now, x.service, e, bbplain.Answer{
		Process: p,
		Good:    bbcodec.Outcome(nil, reading) == bbhealth.OutcomeGood && a.Status < http.StatusInternalServerError,
		Took:    now - r.began,
		Load:    reading.Signal.Load,
	})
}

// Slowness returns the estimated slowness of the endpoints of each plain service.
func (g *Gateway) Slowness() map[string]bbspeed.Summary {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chooser.Slowness(g.hooks.Now())
}
