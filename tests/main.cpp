#define BOOST_TEST_MODULE tamarackseam
#include <boost/test/unit_test.hpp>
