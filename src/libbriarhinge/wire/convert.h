#pragma once

#include "api/clientrequest.h"
#include "core/step.h"
#include "frames_generated.h"

namespace briarhinge::wire
{

/** @return the frame that runs a call on an upstream */
ExecuteCallT toWire(const core::DispatchCall &call);

/** @return the call of a frame */
core::DispatchCall fromWire(const ExecuteCallT &call);

/** @return the frame that ends a call with an outcome */
CallResultT toWire(const core::Outcome &outcome);

/** @return the outcome of a frame */
core::Outcome fromWire(const CallResultT &result);

/** @return the frame that forwards a request */
ClientRequestT toWire(const api::ClientRequest &request);

/** @return the request of a frame */
api::ClientRequest fromWire(const ClientRequestT &request);

/** @return the frame that ends a forwarded request */
ClientReplyT toWire(const api::ClientReply &reply);

/** @return the reply of a frame */
api::ClientReply fromWire(const ClientReplyT &reply);

}
