#pragma once

// Precompiled header of the libraries that make translation units slow to build.
#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>
