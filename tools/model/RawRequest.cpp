#include "model/RawRequest.h"

namespace tamarack::standin {

std::string headerOf(const std::string &request, const std::string &name)
{
    const auto at = request.find(name + ": ");
    if (at == std::string::npos)
        return "";
    const auto begin = at + name.size() + 2;
    return request.substr(begin, request.find('\r', begin) - begin);
}

} // namespace tamarack::standin
