#pragma once

#include "config/Settings.h"
#include "http/HttpMessage.h"
#include "tamarackseam/Error.h"

#include <boost/json/value.hpp>

#include <string>

namespace tamarack::ctl {

/// An answer of the administration interface.
struct AdminReply
{
    boost::json::value body;
    /// The body as it was sent.
    std::string text;
    std::string entityTag;
};

/// Calls the administration interface of one entry and waits for each answer.
class AdminClient
{
public:
    AdminClient(Endpoint entry, std::string token);

    /// An error answer becomes an `Error` of the kind that the entry named.
    Result<AdminReply> call(std::string method, std::string path, std::string body = "",
                            std::string ifMatch = "");

private:
    Endpoint m_entry;
    std::string m_token;
};

} // namespace tamarack::ctl
