#pragma once

namespace tamarack {

class EntryCore;
class GateCore;
class Metrics;

/// Copies the counters of a gate into its metrics.
void reportGate(Metrics &metrics, const GateCore &core);

/// Copies the counters of an entry into its metrics.
void reportEntry(Metrics &metrics, const EntryCore &core);

} // namespace tamarack
