#include "base/MetricLabel.h"

#include "base/Metrics.h"

#include <string>

#include <boost/test/unit_test.hpp>

using namespace tamarack;

BOOST_AUTO_TEST_SUITE(MetricLabelSuite)

BOOST_AUTO_TEST_CASE(valueOfALabelCannotEndItsLine)
{
    BOOST_TEST(metricLabel("service", "models") == R"(service="models")");
    BOOST_TEST(metricLabel("service", "caf\u00e9") == "service=\"caf\u00e9\"");
    BOOST_TEST(metricLabel("service", "a\"} 1\nb\\") == R"(service="a\"} 1\nb\\")");
    BOOST_TEST(metricLabel("service", "a\xff") == "service=\"a\ufffd\"");
    BOOST_TEST(metricLabel("service", std::string(20'000, 'a')).size() == 266U);
    Metrics metrics;
    metrics.add("requests_total", metricLabel("service", "a\"\nb"));
    BOOST_TEST(metrics.prometheusText()
               == "# TYPE requests_total "
                  "counter\nrequests_total{service=\"a\\\"\\nb\"} 1\n");
}

BOOST_AUTO_TEST_SUITE_END()
