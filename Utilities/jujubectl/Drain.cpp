#include <boost/json.hpp>
#include <jujubectl/Drain.h>

namespace Jujubectl {

boost::asio::awaitable<ExitCode> drain(Context &context)
{
    const auto target = co_await adminTarget(context, context.settings.instance);
    co_await context.admin.post(target.admin, "/drain", "{}");
    if (context.settings.json)
        context.out << boost::json::object {{"draining", target.id}} << '\n';
    else
        context.out << target.id << " accepts no new requests\n";
    co_return ExitCode::Success;
}

} // namespace Jujubectl
