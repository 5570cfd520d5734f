#include <gtest/gtest.h>

#include "gateway/infoport.h"
#include "gateway/tableserver.h"
#include "gateway/tablesource.h"
#include "standins.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;
using test::FakeStore;
using test::StoreMode;

constexpr const char *table = "t";
constexpr WatchTiming timing{200ms, 0ms, 1500ms};

/// A node reduced to reading tables and serving them to other nodes.
class TableNode
{
public:
    TableNode(event_base *base,
              const net::Address &store,
              const std::string &name,
              const std::string &domain,
              const std::vector<net::Address> &seeds = {})
        : m_name(name)
        , m_domain(domain)
        , m_store(base, store, m_metrics)
        , m_tableServer(base, [] { return 0U; })
        , m_port(base,
                 {"127.0.0.1", 0},
                 [this](const http::Request &request, const InfoPort::Reply &reply) {
                     m_tableServer.handleQuery(*decodeQuery(request.head.target),
                                               [reply](const TableServer::Answer &answer) {
                                                   reply({answer.status, answer.body});
                                               });
                 })
        , m_source(base, m_store, {name, "r1", domain, m_port.address()}, seeds, m_metrics)
        , m_watch(base, m_source, table, timing, [this](const TableChange &change) { onChange(change); })
    {
        m_tableServer.add(table, m_watch);
    }

    PeerNode peer() const { return {m_name, "r1", m_domain, m_port.address()}; }
    void meet(const std::vector<PeerNode> &peers) { m_source.setPeers(peers); }
    void start() { m_watch.start(); }
    bool isReader() const { return m_source.isReader(); }
    std::string value(const std::string &key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? std::string() : found->second.data;
    }
    /// Calls of all causes.
    std::uint64_t storeCalls() { return test::storeCalls(m_metrics); }
    bool wentBack() const { return m_wentBack; }
    /// The version that this node reports to a node that queries all rows.
    std::uint64_t toldVersion()
    {
        std::uint64_t version = 0;
        m_tableServer.handleQuery({table, std::nullopt, {}}, [&](const TableServer::Answer &answer) {
            const auto batch = decodeRowBatch(answer.body);
            version = batch ? batch->version.number() : 0;
        });
        return version;
    }

private:
    void onChange(const TableChange &change)
    {
        if (change.isFullRead) {
            m_rows.clear();
        }
        for (const auto &row : change.rows) {
            m_wentBack = m_wentBack || row.version < m_rows[row.key].version;
            m_rows[row.key] = row;
        }
        m_tableServer.update(table, change);
    }

    std::string m_name;
    std::string m_domain;
    base::MetricsRegistry m_metrics;
    StoreClient m_store;
    TableServer m_tableServer;
    InfoPort m_port;
    TableSource m_source;
    TableWatch m_watch;
    std::map<std::string, Row> m_rows;
    bool m_wentBack = false;
};

class TableSourceTest : public test::LoopTest
{
protected:
    TableSourceTest()
        : m_store(m_base.get())
    {
        m_store.put(table, "k", "one");
    }

    /// Starts @p perDomain nodes in each of @p domains, all of them known to each other.
    void start(int perDomain, const std::vector<std::string> &domains = {"d1", "d2"})
    {
        for (const auto &domain : domains) {
            for (int i = 0; i < perDomain; ++i) {
                const auto name = domain + "-" + std::to_string(i);
                m_nodes[name] = std::make_unique<TableNode>(m_base.get(), m_store.address(), name, domain);
            }
        }
        for (auto &[name, node] : m_nodes) {
            node->meet(peersOf(name));
        }
        for (auto &[name, node] : m_nodes) {
            node->start();
        }
    }

    std::vector<PeerNode> peersOf(const std::string &self) const
    {
        std::vector<PeerNode> peers;
        for (const auto &[name, node] : m_nodes) {
            if (name != self) {
                peers.push_back(node->peer());
            }
        }
        return peers;
    }

    bool allHold(const std::string &value)
    {
        return until([&] {
            return std::all_of(
                m_nodes.begin(), m_nodes.end(), [&](const auto &item) { return item.second->value("k") == value; });
        });
    }

    std::string readerOf(const std::string &domain) const
    {
        for (const auto &[name, node] : m_nodes) {
            if (name.starts_with(domain) && node->isReader()) {
                return name;
            }
        }
        return {};
    }

    FakeStore m_store;
    std::map<std::string, std::unique_ptr<TableNode>> m_nodes;
};

TEST_F(TableSourceTest, change_inTheStore_reachesAllThroughOneReaderADomain)
{
    start(4);
    ASSERT_TRUE(allHold("one"));
    // A node that queried a reader before the reader had any rows has fallen back to the store; wait until it returns
    // to the reader.
    runFor(2500ms);
    std::map<std::string, std::uint64_t> callsBefore;
    for (auto &[name, node] : m_nodes) {
        callsBefore[name] = node->storeCalls();
    }
    m_store.put(table, "k", "two");
    EXPECT_TRUE(allHold("two"));
    runFor(500ms);
    int readers = 0;
    for (auto &[name, node] : m_nodes) {
        readers += node->isReader() ? 1 : 0;
        EXPECT_TRUE(node->isReader() || node->storeCalls() == callsBefore[name]) << name;
    }
    EXPECT_EQ(readers, 2);
}

TEST_F(TableSourceTest, allStartAtOnce_onlyTheSeedAsksTheStore)
{
    TableNode seed(m_base.get(), m_store.address(), "seed", "d1");
    std::vector<std::unique_ptr<TableNode>> others;
    for (int i = 0; i < 20; ++i) {
        const auto name = "n" + std::to_string(i);
        others.push_back(
            std::make_unique<TableNode>(m_base.get(), m_store.address(), name, "d1", std::vector{seed.peer().address}));
        others.back()->start();
    }
    runFor(20ms);
    seed.start();
    std::uint64_t calls = 0;
    for (auto &node : others) {
        EXPECT_TRUE(until([&] { return node->value("k") == "one"; }));
        calls += node->storeCalls();
    }
    EXPECT_EQ(calls, 0U);
    EXPECT_GT(seed.storeCalls(), 0U);
}

TEST_F(TableSourceTest, seedDown_nodeThatStarts_asksTheStoreInstead)
{
    TableNode node(m_base.get(), m_store.address(), "n", "d1", {{"127.0.0.1", 1}});
    node.start();
    EXPECT_TRUE(until([&] { return node.value("k") == "one"; }, 2s));
}

TEST_F(TableSourceTest, seedSilent_nodeThatStarts_knowsAllWithinHalfASecond)
{
    // The seed accepts connections but never answers, which to the client looks like a machine without power.
    FakeStore silent(m_base.get());
    silent.setMode(StoreMode::Silent);
    TableNode node(m_base.get(), m_store.address(), "n", "d1", {silent.address()});
    node.start();
    EXPECT_TRUE(until([&] { return node.value("k") == "one"; }, 500ms));
}

TEST_F(TableSourceTest, largeRegion_hasTwoReadersInDifferentDomains)
{
    start(8, {"d1", "d2", "d3"});
    ASSERT_TRUE(allHold("one"));
    std::set<std::string> domains;
    int readers = 0;
    for (auto &[name, node] : m_nodes) {
        readers += node->isReader() ? 1 : 0;
        if (node->isReader()) {
            domains.insert(name.substr(0, 2));
        }
    }
    EXPECT_EQ(readers, 2);
    EXPECT_EQ(domains.size(), 2U);
    m_store.put(table, "k", "two");
    EXPECT_TRUE(allHold("two"));
}

TEST_F(TableSourceTest, largeRegion_bothReadersGone_changesReachTheOthersInTime)
{
    start(8, {"d1", "d2", "d3"});
    ASSERT_TRUE(allHold("one"));
    for (int i = 0; i < 2; ++i) {
        m_nodes.erase(readerOf("d"));
    }
    m_store.put(table, "k", "two");
    const auto started = base::monotonicNow();
    EXPECT_TRUE(allHold("two"));
    EXPECT_LT(base::monotonicNow() - started, 2s);
}

TEST_F(TableSourceTest, readerGone_changes_stillReachTheOthersOfItsDomain)
{
    start(4);
    ASSERT_TRUE(allHold("one"));
    m_nodes.erase(readerOf("d1"));
    m_store.put(table, "k", "two");
    EXPECT_TRUE(allHold("two"));
}

TEST_F(TableSourceTest, changesOfOtherTables_reader_reportsTheNewestVersionItHasSeen)
{
    // Otherwise a node that has read the store itself would reject the answer as outdated and query again without end.
    start(1);
    ASSERT_TRUE(allHold("one"));
    const auto before = m_nodes.begin()->second->toldVersion();
    for (int i = 0; i < 5; ++i) {
        m_store.put("other", "k", "v");
    }
    EXPECT_TRUE(until([&] { return m_nodes.begin()->second->toldVersion() >= before + 5; }, 2s));
}

TEST_F(TableSourceTest, storeUnavailable_allKeepTheirRows_andCatchUpAfterwards)
{
    start(3);
    ASSERT_TRUE(allHold("one"));
    m_store.setMode(StoreMode::Refusing);
    runFor(2s);
    EXPECT_TRUE(allHold("one"));
    m_store.setMode(StoreMode::Serving);
    m_store.put(table, "k", "two");
    EXPECT_TRUE(allHold("two"));
    for (auto &[name, node] : m_nodes) {
        EXPECT_FALSE(node->wentBack()) << name;
    }
}

TEST_F(TableSourceTest, nodeWithoutStore_newNode_learnsFromAReaderOfAnotherDomain)
{
    start(2);
    ASSERT_TRUE(allHold("one"));
    // The node's store address is a port without a listener.
    TableNode cutOff(m_base.get(), {"127.0.0.1", 1}, "d3-0", "d3");
    cutOff.meet(peersOf("d3-0"));
    cutOff.start();
    EXPECT_TRUE(until([&] { return cutOff.value("k") == "one"; }));
    m_store.put(table, "k", "two");
    EXPECT_TRUE(until([&] { return cutOff.value("k") == "two"; }));
}

TEST_F(TableSourceTest, readerWithOutdatedRows_isReplaced)
{
    // The reader's store stops answering; the node that queries the reader can reach another store.
    FakeStore silent(m_base.get());
    silent.put(table, "k", "old");
    std::unique_ptr<TableNode> reader;
    std::unique_ptr<TableNode> nonReader;
    for (int i = 0; !reader || !reader->isReader() || nonReader->isReader(); ++i) {
        reader = std::make_unique<TableNode>(m_base.get(), silent.address(), "a" + std::to_string(i), "d4");
        nonReader = std::make_unique<TableNode>(m_base.get(), m_store.address(), "b" + std::to_string(i), "d4");
        reader->meet({nonReader->peer()});
        nonReader->meet({reader->peer()});
    }
    reader->start();
    ASSERT_TRUE(until([&] { return reader->value("k") == "old"; }));
    nonReader->start();
    ASSERT_TRUE(until([&] { return nonReader->value("k") == "old"; }));
    silent.setMode(StoreMode::Silent);
    m_store.put(table, "k", "new");
    EXPECT_TRUE(until([&] { return nonReader->value("k") == "new"; }, 4s));
}

TEST_F(TableSourceTest, storeComesBackOlder_changeAfterwards_reachesNodesThatAskRelays)
{
    start(4);
    ASSERT_TRUE(allHold("one"));
    m_store.takeCopy();
    m_store.put(table, "k", "lost");
    for (int i = 0; i < 30; ++i) {
        m_store.put("other", "k", "v");
    }
    ASSERT_TRUE(allHold("lost"));
    m_store.comeBackFromCopy();
    m_store.put(table, "k", "two");
    const auto started = base::monotonicNow();
    EXPECT_TRUE(allHold("two"));
    EXPECT_LT(base::monotonicNow() - started, 2s);
}

} // namespace ibisfork::gateway
