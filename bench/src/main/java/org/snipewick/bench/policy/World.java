package org.snipewick.bench.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.membership.Rendezvous;
import org.snipewick.pool.WorkRequest;
import org.snipewick.time.VirtualTimerService;

/** One run: engines, arrivals and faults in virtual time, and what became of the requests. */
final class World {
  static final int ENTRIES_PER_DOMAIN = 2;
  private static final Duration DRAIN = Duration.ofSeconds(55);

  final VirtualTimerService timer = VirtualTimerService.of(0);
  final Workload workload;
  final BenchCase benchCase;
  final List<EngineFake> engines = new ArrayList<>();
  final Outcomes outcomes = new Outcomes();
  private final Set<EngineFake.Job> running = new LinkedHashSet<>();
  private boolean cut;
  private String killed = "";

  World(Workload workload, BenchCase benchCase) {
    this.workload = workload;
    this.benchCase = benchCase;
    for (Workload.Domain domain : workload.domains()) {
      for (int i = 0; i < domain.slowness().size(); i++) {
        String name = domain.name() + "-engine-" + i;
        engines.add(new EngineFake(name, domain.name(), domain.slowness().get(i), timer));
      }
    }
  }

  Outcomes run(List<Workload.Request> requests, Function<World, Dispatcher> policy) {
    Dispatcher dispatcher = policy.apply(this);
    scheduleFault(dispatcher);
    scheduleArrival(requests, 0, dispatcher);
    timer.advance(Duration.ofMillis(BenchCase.END_MILLIS).plus(DRAIN));
    return outcomes;
  }

  /** Tells whether requests of a domain's entry instances reach an engine. */
  boolean reaches(String domain, EngineFake engine) {
    String first = workload.domains().get(0).name();
    return !cut || domain.equals(first) == engine.domain.equals(first);
  }

  static long deadlineMillis(Workload.Request request) {
    return request.atMillis() + request.work().remainingMillis();
  }

  long nowMillis() {
    return timer.nanoTime() / 1_000_000;
  }

  /** Starts a request; the watchers are called after each token and once at the end. */
  void start(
      Workload.Request request,
      EngineFake engine,
      Consumer<EngineFake.Job> onToken,
      Consumer<EngineFake.Job> onEnd) {
    Tracker tracker = new Tracker(onToken, onEnd);
    tracker.job = new EngineFake.Job(request, engine, tracker::token);
    running.add(tracker.job);
    engine.submit(tracker.job);
    at(deadlineMillis(request), tracker::abort);
    tracker.job.abort = tracker::abort;
  }

  String domainOf(Workload.Request request) {
    return workload.domains().get(request.domain()).name();
  }

  private void scheduleArrival(List<Workload.Request> requests, int index, Dispatcher dispatcher) {
    if (index >= requests.size()) {
      return;
    }
    Workload.Request request = requests.get(index);
    at(
        request.atMillis(),
        () -> {
          outcomes.offered(request);
          dispatcher.arrive(atEntry(request));
          scheduleArrival(requests, index + 1, dispatcher);
        });
  }

  private Workload.Request atEntry(Workload.Request request) {
    WorkRequest work = request.work();
    long sequence = work.id().sequence();
    String entry = entry(request.domain(), sequence);
    if (entry.equals(killed)) {
      entry = entry(request.domain(), sequence + 1);
    }
    return new Workload.Request(
        new WorkRequest(
            RequestId.of(InstanceId.of(entry), 1, sequence),
            work.team(),
            work.pool(),
            work.tier(),
            work.promptTokens(),
            work.maxOutputTokens(),
            work.prefixHashes(),
            0,
            work.remainingMillis()),
        request.domain(),
        request.atMillis(),
        request.outputTokens());
  }

  private String entry(int domain, long sequence) {
    return workload.domains().get(domain).name() + "." + (1 + sequence % ENTRIES_PER_DOMAIN);
  }

  private void scheduleFault(Dispatcher dispatcher) {
    switch (benchCase.fault()) {
      case STRAGGLER -> {
        at(BenchCase.FAULT_MILLIS, () -> engines.get(0).straggle(4));
        at(BenchCase.FAULT_END_MILLIS, () -> engines.get(0).straggle(1));
      }
      case KILL -> at(BenchCase.FAULT_MILLIS, () -> kill(dispatcher));
      case CUT -> {
        at(BenchCase.FAULT_MILLIS, () -> cut(dispatcher, true));
        at(BenchCase.FAULT_END_MILLIS, () -> cut(dispatcher, false));
      }
      default -> {}
    }
  }

  private void at(long millis, Runnable task) {
    var unused = timer.after(Duration.ofMillis(Math.max(0, millis - nowMillis())), task);
  }

  /** Kills the entry instance that schedules the first domain. */
  private void kill(Dispatcher dispatcher) {
    String domain = workload.domains().get(0).name();
    killed =
        Rendezvous.first(
                "pool/" + domain + "/" + Workload.POOL,
                List.of(entry(0, 0), entry(0, 1)),
                name -> name)
            .orElseThrow();
    List.copyOf(running).stream()
        .filter(job -> job.request.work().id().instance().value().equals(killed))
        .forEach(job -> job.abort.run());
    dispatcher.killed(killed);
  }

  private void cut(Dispatcher dispatcher, boolean isCut) {
    cut = isCut;
    List.copyOf(running).stream()
        .filter(job -> !reaches(domainOf(job.request), job.engine))
        .forEach(job -> job.abort.run());
    dispatcher.cut(isCut);
  }

  private final class Tracker {
    private final Consumer<EngineFake.Job> onToken;
    private final Consumer<EngineFake.Job> onEnd;
    private EngineFake.Job job;
    private long firstTokenMicros;

    Tracker(Consumer<EngineFake.Job> onToken, Consumer<EngineFake.Job> onEnd) {
      this.onToken = onToken;
      this.onEnd = onEnd;
    }

    void token() {
      if (job.tokens == 1) {
        firstTokenMicros = timer.nanoTime() / 1_000;
      }
      onToken.accept(job);
      if (job.isComplete()) {
        end();
      }
    }

    void abort() {
      if (running.contains(job)) {
        job.engine.cancel(job);
        end();
      }
    }

    private void end() {
      running.remove(job);
      outcomes.ended(job, firstTokenMicros, timer.nanoTime() / 1_000);
      onEnd.accept(job);
    }
  }
}
