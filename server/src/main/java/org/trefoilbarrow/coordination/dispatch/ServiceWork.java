package org.trefoilbarrow.coordination.dispatch;

import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;

/** The waiting and the running work of one service. */
record ServiceWork(WaitingQueue waiting, RunningWork running) {
  /** Creates the record of a service without work. */
  static ServiceWork create(
      DispatchRules rules, ToDoubleFunction<String> weights, DoubleSupplier random) {
    return new ServiceWork(
        new WaitingQueue(rules.initialServiceTime().toNanos(), weights, random), new RunningWork());
  }

  /** Returns the number of demands and slots, for logs. */
  String describe(String service, BackendSlots slots, long nowNanos) {
    return String.format(
        "%s online %d late %d batch %d places %d free %d; ",
        service,
        waiting.online().size(),
        waiting.late().size(),
        waiting.itemCount(),
        slots.total(service, nowNanos),
        slots.free(service, nowNanos));
  }
}
