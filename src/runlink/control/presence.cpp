#include "runlink/control/presence.hpp"

#include <utility>

namespace runlink::control
{

presence::presence(presence_options options, kv_store store, kv_item entry)
    : options_{options}, store_{std::move(store)}, entry_{std::move(entry)}
{
}

void presence::tick(core::time_point now)
{
    if (!next_ || now < *next_)
        return;
    next_.reset(); // set again when the call is answered
    if (lease_ == 0)
        grant();
    else if (!is_written_)
        write();
    else
        renew();
}

void presence::fail(kv_error why)
{
    const auto now = clock();
    if (why == kv_error::lease_gone)
        lease_ = 0;
    else
        on_failure(now, why);
    is_written_ = is_written_ && lease_ != 0;
    next_ = now + (why == kv_error::lease_gone ? core::milliseconds{0} : options_.retry_after);
}

void presence::succeed()
{
    const auto now = clock();
    next_ = now + options_.renew_after;
    on_success(now);
}

void presence::grant()
{
    store_.grant(options_.ttl,
                 [this](const kv_result<kv_lease>& it)
                 {
                     if (const auto* why = std::get_if<kv_error>(&it))
                         return fail(*why);
                     lease_ = std::get<kv_lease>(it).id;
                     write();
                 });
}

void presence::write()
{
    kv_transaction out;
    out.writes.push_back(entry_);
    out.writes.back().lease = lease_;
    store_.commit(out,
                  [this](const kv_commit_result& it)
                  {
                      if (const auto* why = std::get_if<kv_error>(&it))
                          return fail(*why);
                      is_written_ = true;
                      succeed();
                  });
}

void presence::renew()
{
    store_.renew(lease_,
                 [this](const kv_result<kv_lease>& it)
                 {
                     if (const auto* why = std::get_if<kv_error>(&it))
                         return fail(*why);
                     succeed();
                 });
}

} // namespace runlink::control
