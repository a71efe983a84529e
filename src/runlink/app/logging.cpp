#include "runlink/app/logging.hpp"

#include <iostream>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

namespace runlink::app
{
namespace
{

boost::log::trivial::severity_level parse_level(const std::string& name)
{
    boost::log::trivial::severity_level out = boost::log::trivial::info;
    boost::log::trivial::from_string(name.data(), name.size(), out);
    return out;
}

} // namespace

void start_logging(const std::string& level)
{
    namespace expr = boost::log::expressions;
    boost::log::add_common_attributes();
    boost::log::add_console_log(std::clog, boost::log::keywords::auto_flush = true,
                                boost::log::keywords::format =
                                    expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                                                        "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                                 << " " << boost::log::trivial::severity << " "
                                                 << expr::smessage);
    boost::log::core::get()->set_filter(boost::log::trivial::severity >= parse_level(level));
}

void log_info(const std::string& line)
{
    BOOST_LOG_TRIVIAL(info) << line;
}

void log_error(const std::string& line)
{
    BOOST_LOG_TRIVIAL(error) << line;
}

} // namespace runlink::app
