package org.snipewick.standins.engine;

import io.activej.eventloop.Eventloop;
import java.util.List;
import org.snipewick.standins.server.EndpointState;
import org.snipewick.standins.server.LaggedValue;

/** Creates the load reports of an engine, which lag behind its load by a set time. */
final class LoadReports {
  private static final long SAMPLE_INTERVAL_MILLIS = 20;

  private final Eventloop eventloop;
  private final EngineSettings settings;
  private final EndpointState state;
  private final Batch batch;
  private final Orders orders;
  private final LaggedValue<Load> samples;

  record Load(
      String state,
      int running,
      int queued,
      int kvTokens,
      int maxKvTokens,
      int cacheTokens,
      int maxInFlight,
      List<String> models,
      long asOfMillis) {}

  LoadReports(
      Eventloop eventloop,
      EngineSettings settings,
      EndpointState state,
      Batch batch,
      Orders orders) {
    this.eventloop = eventloop;
    this.settings = settings;
    this.state = state;
    this.batch = batch;
    this.orders = orders;
    samples = new LaggedValue<>(currentLoad());
    if (settings.reportLagMillis() > 0) {
      eventloop.delayBackground(SAMPLE_INTERVAL_MILLIS, this::sample);
    }
  }

  Load read() {
    long lagMillis = settings.reportLagMillis();
    return lagMillis > 0 ? samples.at(eventloop.currentTimeMillis() - lagMillis) : currentLoad();
  }

  private void sample() {
    samples.set(eventloop.currentTimeMillis(), currentLoad());
    eventloop.delayBackground(SAMPLE_INTERVAL_MILLIS, this::sample);
  }

  private Load currentLoad() {
    return new Load(
        state.name(),
        batch.running(),
        batch.queued(),
        batch.usedKvTokens(),
        settings.kvTokens(),
        settings.cacheTokens(),
        settings.maxInFlight(),
        orders.models(),
        eventloop.currentTimeMillis());
  }
}
