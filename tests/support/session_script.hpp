/// \file
/// Runs scripts of timed events on a `fake_world`. Tests compare the trace of decisions and answers with a
/// golden file.
#pragma once

#include <string>

namespace runlink::tests
{

/// Runs a script and returns its trace. Throws `std::runtime_error` for a line that cannot be parsed.
///
/// Lines: `instances a b`, `advance 10ms`, `state off`, and
/// `request a r1 [key=k] [once] [quick] [stream] [session=new|of:r0] [version=r2] [account=x] [service=s]
/// [deadline=500] [body=x]`, `leave a r1`, `endpoint head|bytes|answer|fail|refuse|lose|lose-unsent r1
/// [text]`, `store up|down|lose-replies=1|drop-watches`, `kill|start|freeze|thaw|stop a`, `cut|heal a b`,
/// `plan a p1 <intent>`, `confirm a p1`, `endpoint-leaving a e1 7`, `endpoint-live a e1 7`, `rate a review/r2
/// good|bad 3`, `show runs|bills|configuration|versions`.
std::string run_script(const std::string& text);

} // namespace runlink::tests
