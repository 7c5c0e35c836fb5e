package fanout

import (
	"encoding/base64"
	"encoding/json"
	"time"

	"quartzpoint/budget"
)

const (
	maxAnswer       = 4 << 10 // maximum bytes of a composed answer in the routers' protocol
	answerOverhead  = 64      // bytes of an answer without its parts
	maxPartOverhead = 96      // maximum bytes of a part without its name and result
)

// Answer is a composed answer in the form that callers receive.
type Answer struct {
	Complete bool    `json:"whole"` // all parts are available and fresh
	Value    float64 `json:"worth"` // value of the available parts divided by that of all parts; 0 to 1
	Parts    []Part  `json:"parts"`
}

// Part is the outcome of one call.
type Part struct {
	Name   string `json:"name"`
	State  string `json:"state"`
	Reason string `json:"why,omitempty"`    // why the part is not fresh
	AgeMS  int64  `json:"age_ms,omitempty"` // of a stored result
	Result string `json:"result,omitempty"` // base64
}

// States of a part.
const (
	partFresh   = "fresh"
	partStale   = "old"     // replaced by a stored result
	partDefault = "default" // replaced by the configured constant
	partMissing = "missing"
)

// compose encodes the answer with the available parts. If it would be longer than maxAnswer, it leaves parts out and
// sets truncated. hasRequired is false if a required part is left out.
func (r *request) compose(execution *budget.Execution, verdict budget.Verdict) (encoded []byte, truncated, hasRequired bool) {
	answer := Answer{Complete: verdict == budget.Complete, Value: execution.Value()}
	size := answerOverhead
	for i := range r.route.Plan.Calls {
		part := r.part(execution, i)
		size += len(part.Result) + len(part.Name) + maxPartOverhead
		answer.Parts = append(answer.Parts, part)
	}
	hasRequired = true
	for size > maxAnswer {
		i := r.partToOmit(answer.Parts)
		part := &answer.Parts[i]
		if part.Result == "" {
			break
		}
		size -= len(part.Result)
		*part = Part{Name: part.Name, State: partMissing, Reason: "answer too long"}
		answer.Complete, truncated, hasRequired = false, true, hasRequired && !r.route.Plan.Calls[i].Required
	}
	encoded, err := json.Marshal(answer)
	if err != nil || len(encoded) > maxAnswer {
		return nil, true, false // the names alone make it too long
	}
	return encoded, truncated, hasRequired
}

// part returns the outcome of a call in the form of the answer.
func (r *request) part(execution *budget.Execution, call int) Part {
	part := Part{Name: r.route.Plan.Calls[call].Name, State: partFresh}
	available, status := execution.PartStatus(call)
	switch {
	case !available:
		part.State, part.Reason = partMissing, status.String()
	case status == budget.UsedFallback && r.ages[call] > 0:
		part.State, part.Reason = partStale, status.String()
		part.AgeMS = (r.ages[call] + time.Millisecond - 1).Milliseconds()
	case status == budget.UsedFallback:
		part.State, part.Reason = partDefault, status.String()
	}
	if available {
		part.Result = base64.StdEncoding.EncodeToString(r.parts[call])
	}
	return part
}

// partToOmit returns the index of the longest part. As long as an optional part has a result, it considers only
// optional parts.
func (r *request) partToOmit(parts []Part) int {
	omit := 0
	for i, planned := range r.route.Plan.Calls {
		if parts[i].Result == "" {
			continue
		}
		required := r.route.Plan.Calls[omit].Required
		if parts[omit].Result == "" || required && !planned.Required ||
			required == planned.Required && len(parts[i].Result) > len(parts[omit].Result) {
			omit = i
		}
	}
	return omit
}
