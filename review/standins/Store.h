#pragma once

#include "Net.h"

#include <boost/json.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

namespace review {

namespace json = boost::json;

/// The platform's store as PROTOCOL.md tells it: objects by kind and name, one revision counter,
/// lists and watches. `restore` is the drill of the news page: away for a moment, then back from a
/// copy some seconds old, with `Store-Era` one higher.
class Store
{
public:
    Store()
        : m_port(freePort())
    {
        open();
    }

    unsigned short port() const { return m_port; }

    /// What the operator and the replicas write.
    void put(const std::string &kind, const std::string &name, json::value spec)
    {
        const std::lock_guard lock(m_mutex);
        set(kind, name, std::move(spec));
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        erase(kind, name);
    }
    std::uint64_t revision()
    {
        const std::lock_guard lock(m_mutex);
        return m_state.revision;
    }
    std::string names(const std::string &kind)
    {
        const std::lock_guard lock(m_mutex);
        std::string names;
        for (const auto &[key, object] : m_state.objects)
            if (key.first == kind)
                names += (names.empty() ? "" : " ") + key.second;
        return names.empty() ? "none" : names;
    }

    /// Keeps a copy, from which `restore` comes back.
    void copy()
    {
        const std::lock_guard lock(m_mutex);
        m_copy = m_state;
    }
    void goAway()
    {
        const std::lock_guard lock(m_mutex);
        m_away = true;
        shutdown(m_listener, SHUT_RDWR);
        for (const int file : m_connections)
            shutdown(file, SHUT_RDWR);
        m_changed.notify_all();
    }
    /// The answer to the next deletion of this object is lost, and the call is carried out only
    /// after `lateMs`, if its condition still holds.
    void loseNextDelete(const std::string &kind, const std::string &name, int lateMs)
    {
        const std::lock_guard lock(m_mutex);
        m_lostDelete = Key{kind, name};
        m_lateMs = lateMs;
    }
    /// Back from the copy; what the operator and the replicas wrote since is written again by
    /// `rewrite` before the first call is answered.
    template <typename Rewrite>
    void restore(Rewrite rewrite)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_state = m_copy;
            ++m_era;
        }
        rewrite();
        open();
    }

private:
    using Key = std::pair<std::string, std::string>;
    /// No status: nothing further comes on the channel.
    static constexpr int lost = -1;
    struct Object
    {
        std::uint64_t created = 0;
        std::uint64_t revision = 0;
        json::value spec;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        json::object event;
    };
    struct State
    {
        std::uint64_t revision = 100;
        std::map<Key, Object> objects;
        std::vector<Event> events;
    };

    static json::object toJson(const std::string &name, const Object &object)
    {
        return {{"metadata", json::object{{"name", name},
                                          {"revision", object.revision},
                                          {"createRevision", object.created},
                                          {"finalizers", json::array{}},
                                          {"deleting", false}}},
                {"spec", object.spec},
                {"status", nullptr}};
    }

    void set(const std::string &kind, const std::string &name, json::value spec)
    {
        Object &object = m_state.objects[{kind, name}];
        if (object.revision > 0 && object.spec == spec)
            return;
        object.revision = ++m_state.revision;
        object.created = object.created > 0 ? object.created : object.revision;
        object.spec = std::move(spec);
        m_state.events.push_back(
            {object.revision, kind,
             json::object{{"object", toJson(name, object)}, {"deleted", false}}});
        m_changed.notify_all();
    }

    bool erase(const std::string &kind, const std::string &name)
    {
        const auto found = m_state.objects.find({kind, name});
        if (found == m_state.objects.end())
            return false;
        Object object = found->second;
        m_state.objects.erase(found);
        object.revision = ++m_state.revision;
        m_state.events.push_back(
            {object.revision, kind,
             json::object{{"object", toJson(name, object)}, {"deleted", true}}});
        m_changed.notify_all();
        return true;
    }

    void open()
    {
        const std::lock_guard lock(m_mutex);
        m_away = false;
        m_listener = listenOn(m_port);
        if (m_listener < 0) {
            record("store: port taken");
            _exit(2);
        }
        std::thread([this, listener = m_listener] { accept(listener); }).detach();
    }

    void accept(int listener)
    {
        while (true) {
            const int file = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (file < 0)
                break;
            const std::lock_guard lock(m_mutex);
            if (m_away) {
                close(file);
                break;
            }
            m_connections.insert(file);
            std::thread([this, file] { serve(file); }).detach();
        }
        close(listener);
    }

    void serve(int file)
    {
        Reader reader(file);
        Message request;
        while (reader.readRequest(request)) {
            const auto [status, body] = answer(request);
            if (status == lost)
                continue;
            if (status == 0)
                break;
            const std::string text = json::serialize(body);
            if (!sendAll(file, "HTTP/1.1 " + std::to_string(status) + " X\r\nStore-Era: "
                                   + std::to_string(m_era) + "\r\nContent-Type: application/json"
                                   + "\r\nContent-Length: " + std::to_string(text.size())
                                   + "\r\n\r\n" + text))
                break;
        }
        const std::lock_guard lock(m_mutex);
        m_connections.erase(file);
        close(file);
    }

    std::pair<int, json::value> answer(const Message &request)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string query = path.size() < target.size() ? target.substr(path.size()) : "";
        constexpr std::string_view root = "/objects/";
        if (!path.starts_with(root))
            return {404, nullptr};
        const std::string rest = path.substr(root.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        const std::string name = kind.size() < rest.size() ? rest.substr(kind.size() + 1) : "";
        std::unique_lock lock(m_mutex);
        if (m_away)
            return {0, nullptr};
        const std::string method = request.method();
        if (method == "GET" && name.empty())
            return parameter(query, "watch").empty() ? list(kind) : watch(lock, kind, query);
        if (method == "GET") {
            const auto found = m_state.objects.find({kind, name});
            if (found == m_state.objects.end())
                return {404, nullptr};
            return {200, toJson(name, found->second)};
        }
        if (method == "DELETE" && m_lostDelete == Key{kind, name}) {
            m_lostDelete.reset();
            record("store: answer to DELETE %s/%s lost", kind.c_str(), name.c_str());
            std::thread([this, kind, name, late = milliseconds(m_lateMs)] {
                std::this_thread::sleep_for(late);
                const std::lock_guard later(m_mutex);
                const bool removed = erase(kind, name);
                record("store: DELETE %s/%s carried out now: %s", kind.c_str(), name.c_str(),
                       removed ? "removed" : "nothing there");
            }).detach();
            return {lost, nullptr};
        }
        if (method == "DELETE")
            return {erase(kind, name) ? 200 : 404, nullptr};
        json::value body = json::parse(request.body);
        const std::string own =
            name.empty() ? std::string(body.at("metadata").at("name").as_string()) : name;
        const bool exists = m_state.objects.contains({kind, own});
        if (method == "POST" && exists)
            return {409, toJson(own, m_state.objects.at({kind, own}))};
        if (method == "PUT" && !exists)
            return {404, nullptr};
        set(kind, own, body.at("spec"));
        return {method == "POST" ? 201 : 200, toJson(own, m_state.objects.at({kind, own}))};
    }

    std::pair<int, json::value> list(const std::string &kind)
    {
        json::array entries;
        for (const auto &[key, object] : m_state.objects)
            if (key.first == kind)
                entries.push_back(toJson(key.second, object));
        return {200, json::object{{"entries", std::move(entries)},
                                  {"morePages", false},
                                  {"currentRev", m_state.revision}}};
    }

    std::pair<int, json::value> watch(std::unique_lock<std::mutex> &lock, const std::string &kind,
                                      const std::string &query)
    {
        const std::uint64_t since = strtoull(parameter(query, "watch").c_str(), nullptr, 10);
        const auto until = Clock::now() + milliseconds(atoi(parameter(query, "waitMs").c_str()));
        if (since > m_state.revision)
            return {410, nullptr};
        while (true) {
            if (m_away)
                return {0, nullptr};
            json::array events;
            for (const Event &event : m_state.events)
                if (event.revision > since && event.kind == kind)
                    events.push_back(event.event);
            if (!events.empty() || Clock::now() >= until)
                return {200, json::object{{"events", std::move(events)},
                                          {"currentRev", m_state.revision}}};
            m_changed.wait_until(lock, until);
        }
    }

    static std::string parameter(const std::string &query, const std::string &name)
    {
        for (const char before : {'?', '&'}) {
            const auto at = query.find(before + name + "=");
            if (at == std::string::npos)
                continue;
            const auto from = at + name.size() + 2;
            return query.substr(from, query.find('&', from) - from);
        }
        return "";
    }

    unsigned short m_port;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    State m_state;
    State m_copy;
    std::uint64_t m_era = 1;
    bool m_away = false;
    std::optional<Key> m_lostDelete;
    int m_lateMs = 0;
    int m_listener = -1;
    std::set<int> m_connections;
};

} // namespace review
