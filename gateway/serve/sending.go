package serve

import (
	"fmt"
	"time"

	"hornbeamtray/core/dispatch"
)

// sinceChoice returns how long ago the target of the current attempt was chosen.
func (d *delivery) sinceChoice() time.Duration { return d.service.clock().Sub(d.chosenAt) }

// checkSendTime returns an error if it is too late to write the request to a target that may be
// cold: the gateway may have sent others there since it chose the target.
func (d *delivery) checkSendTime() error {
	late := d.sinceChoice() - dispatch.SendTimeout
	if late > 0 && d.service.State().Bounded(d.admission.Service) {
		return fmt.Errorf("%w: %s too late for the bound on cold targets; a target is chosen anew", ErrLate, late)
	}
	return nil
}

// recordSending records how and when the current attempt was written.
func (d *delivery) recordSending(sending Sending) {
	d.sending, d.writtenAfter = sending, d.service.clock().Sub(d.arrived)
	d.service.meter.Observe("send_delay", d.sinceChoice())
	if sending.Bytes != 0 && d.service.State().Bounded(d.admission.Service) {
		d.service.recordSent(d.target.ID, d.chosenAt)
	}
}
