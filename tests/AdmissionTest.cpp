#include "serving/Admission.h"

#include <boost/test/unit_test.hpp>

using namespace tamarack;

namespace {

constexpr milliseconds revokeBound{4000};
constexpr milliseconds margin{1000};

/// A configuration with one keyed and one open route and one workspace.
struct Fixture
{
    Fixture()
    {
        Route keyed;
        keyed.name = "keyed";
        keyed.host = "h.example";
        keyed.pathPrefix = "/a/";
        keyed.services = {{"models", 1}};
        keyed.tier = 2;
        Route open = keyed;
        open.name = "open";
        open.pathPrefix = "/open/";
        open.isPublic = true;
        config.version = 7;
        config.routes = {keyed, open};
        Workspace workspace;
        workspace.name = "w1";
        workspace.keys = {"k1"};
        workspace.tier = 0;
        workspace.rate = 10;
        workspace.burst = 10;
        workspace.defaultCost = 8;
        config.workspaces = {workspace};
        config.buildIndexes();
        quotas.configure(config, now);
        // Buckets start empty and fill at the quota's rate.
        now += std::chrono::seconds(2);
        facts.id = "q1";
        facts.host = "h.example:80";
        facts.key = "k1";
        freshness.recordProof(boot);
    }

    std::optional<ErrorKind> decide(std::string_view path)
    {
        admitted = {};
        const auto denial =
            admission.admit(&config, facts, {path, path, "body"}, admitted, now, boot);
        return denial ? std::optional(denial->kind) : std::nullopt;
    }

    ServingConfig config;
    FreshnessGuard freshness{revokeBound, margin};
    CrashLedger crashes;
    PartQuarantine partQuarantine;
    QuotaLedger quotas;
    Admission admission{freshness, crashes, partQuarantine, quotas};
    RequestFacts facts;
    AdmittedRequest admitted;
    TimePoint now = TimePoint{} + std::chrono::hours(1);
    BootTime boot = std::chrono::hours(1);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AdmissionSuite, Fixture)

BOOST_AUTO_TEST_CASE(aKnownKeyIsAdmittedWithItsWorkspacesTier)
{
    BOOST_TEST(!decide("/a/x").has_value());
    BOOST_TEST(admitted.workspace == "w1");
    BOOST_TEST(admitted.service == "models");
    BOOST_TEST(admitted.tier == 0);
    BOOST_TEST(admitted.configVersion == 7U);
    BOOST_TEST(admitted.charged == 8);
}

BOOST_AUTO_TEST_CASE(requestsAreRefusedWithoutAConfiguration)
{
    const auto denial = admission.admit(nullptr, facts, {}, admitted, now, boot);
    BOOST_REQUIRE(denial.has_value());
    BOOST_TEST((denial->kind == ErrorKind::ConfigUnproved));
}

BOOST_AUTO_TEST_CASE(unknownRoutesAndKeysAreReportedOnlyByACurrentConfiguration)
{
    BOOST_TEST((decide("/nowhere/") == ErrorKind::NotFound));
    facts.key = "k9";
    BOOST_TEST((decide("/a/x") == ErrorKind::Unauthorized));
    boot += revokeBound;
    BOOST_TEST((decide("/nowhere/") == ErrorKind::ConfigUnproved));
    BOOST_TEST((decide("/a/x") == ErrorKind::ConfigUnproved));
}

BOOST_AUTO_TEST_CASE(keysAreNotAcceptedWithAStaleConfiguration)
{
    boot += revokeBound;
    BOOST_TEST((decide("/a/x") == ErrorKind::ConfigUnproved));
    BOOST_TEST(admitted.charged == 0);
}

BOOST_AUTO_TEST_CASE(publicRoutesNeedNoKeyAndNoCurrentConfiguration)
{
    facts.key = "";
    boot += revokeBound;
    BOOST_TEST(!decide("/open/x").has_value());
    BOOST_TEST(admitted.workspace.empty());
    BOOST_TEST(admitted.charged == 0);
}

BOOST_AUTO_TEST_CASE(quarantinedRequestsAreNotCharged)
{
    const RequestFingerprint suspect = requestFingerprint("w1", {"/a/x", "/a/x", "body"});
    for (UpstreamKey upstream = 1; upstream <= CrashLedger::crashesToQuarantine; ++upstream)
        crashes.add({suspect, upstream}, now);
    BOOST_TEST((decide("/a/x") == ErrorKind::SuspectHeld));
    BOOST_TEST(admitted.charged == 0);
}

BOOST_AUTO_TEST_CASE(requestsOverQuotaAreNotCharged)
{
    int taken = 0;
    while (taken < 100 && !decide("/a/x"))
        ++taken;
    BOOST_TEST(taken < 100);
    BOOST_TEST((decide("/a/x") == ErrorKind::QuotaExceeded));
    BOOST_TEST(admitted.charged == 0);
}

BOOST_AUTO_TEST_SUITE_END()
