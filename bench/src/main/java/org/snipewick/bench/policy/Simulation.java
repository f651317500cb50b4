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

/** One run in virtual time: engines, arrivals, faults and the results of the requests. */
final class Simulation {
  static final int ENTRIES_PER_DOMAIN = 2;

  /** Time that a run continues after the last arrival. */
  private static final Duration DRAIN_TIME = Duration.ofSeconds(55);

  final VirtualTimerService timer = VirtualTimerService.of(0);
  final Workload workload;
  final BenchCase benchCase;
  final List<EngineFake> engines = new ArrayList<>();
  final Outcomes outcomes = new Outcomes();
  private final Set<EngineFake.Job> running = new LinkedHashSet<>();
  private boolean isCut;
  private String killedEntry = "";

  Simulation(Workload workload, BenchCase benchCase) {
    this.workload = workload;
    this.benchCase = benchCase;
    for (Workload.Domain domain : workload.domains()) {
      for (int i = 0; i < domain.slowness().size(); i++) {
        String name = domain.name() + "-engine-" + i;
        engines.add(new EngineFake(name, domain.name(), domain.slowness().get(i), timer));
      }
    }
  }

  Outcomes run(List<Workload.Request> requests, Function<Simulation, Dispatcher> policy) {
    Dispatcher dispatcher = policy.apply(this);
    scheduleFault(dispatcher);
    scheduleArrival(requests, 0, dispatcher);
    timer.advance(Duration.ofMillis(BenchCase.END_MILLIS).plus(DRAIN_TIME));
    return outcomes;
  }

  /** Returns whether the entry instances of a failure domain can reach an engine. */
  boolean reaches(String domain, EngineFake engine) {
    String first = workload.domains().get(0).name();
    return !isCut || domain.equals(first) == engine.domain.equals(first);
  }

  static long deadlineMillis(Workload.Request request) {
    return request.atMillis() + request.work().remainingMillis();
  }

  long nowMillis() {
    return timer.nanoTime() / 1_000_000;
  }

  /**
   * Starts a request on an engine and aborts it at its deadline.
   *
   * @param onToken called after each token
   * @param onEnd called once when the request is complete or aborted
   */
  void start(
      Workload.Request request,
      EngineFake engine,
      Consumer<EngineFake.Job> onToken,
      Consumer<EngineFake.Job> onEnd) {
    JobTracker tracker = new JobTracker(onToken, onEnd);
    tracker.job = new EngineFake.Job(request, engine, tracker::recordToken);
    running.add(tracker.job);
    engine.submit(tracker.job);
    scheduleAt(deadlineMillis(request), tracker::abort);
    tracker.job.abort = tracker::abort;
  }

  String domainOf(Workload.Request request) {
    return workload.domains().get(request.domainIndex()).name();
  }

  private void scheduleArrival(List<Workload.Request> requests, int index, Dispatcher dispatcher) {
    if (index >= requests.size()) {
      return;
    }
    Workload.Request request = requests.get(index);
    scheduleAt(
        request.atMillis(),
        () -> {
          outcomes.recordOffered(request);
          dispatcher.onArrival(withEntry(request));
          scheduleArrival(requests, index + 1, dispatcher);
        });
  }

  /** Returns a request with an identifier of the entry instance at which it arrives, a live one. */
  private Workload.Request withEntry(Workload.Request request) {
    WorkRequest work = request.work();
    long sequence = work.id().sequence();
    String entry = entryName(request.domainIndex(), sequence);
    if (entry.equals(killedEntry)) {
      entry = entryName(request.domainIndex(), sequence + 1);
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
        request.domainIndex(),
        request.atMillis(),
        request.outputTokens());
  }

  private String entryName(int domain, long sequence) {
    return workload.domains().get(domain).name() + "." + (1 + sequence % ENTRIES_PER_DOMAIN);
  }

  private void scheduleFault(Dispatcher dispatcher) {
    switch (benchCase.fault()) {
      case STRAGGLER -> {
        scheduleAt(BenchCase.FAULT_START_MILLIS, () -> engines.get(0).setSlowdown(4));
        scheduleAt(BenchCase.FAULT_END_MILLIS, () -> engines.get(0).setSlowdown(1));
      }
      case KILL -> scheduleAt(BenchCase.FAULT_START_MILLIS, () -> kill(dispatcher));
      case CUT -> {
        scheduleAt(BenchCase.FAULT_START_MILLIS, () -> setCut(dispatcher, true));
        scheduleAt(BenchCase.FAULT_END_MILLIS, () -> setCut(dispatcher, false));
      }
      default -> {}
    }
  }

  private void scheduleAt(long millis, Runnable task) {
    var unused = timer.after(Duration.ofMillis(Math.max(0, millis - nowMillis())), task);
  }

  /** Kills the entry instance that schedules the first failure domain. */
  private void kill(Dispatcher dispatcher) {
    String domain = workload.domains().get(0).name();
    killedEntry =
        Rendezvous.first(
                "pool/" + domain + "/" + Workload.POOL,
                List.of(entryName(0, 0), entryName(0, 1)),
                name -> name)
            .orElseThrow();
    List.copyOf(running).stream()
        .filter(job -> job.request.work().id().instance().value().equals(killedEntry))
        .forEach(job -> job.abort.run());
    dispatcher.onKilled(killedEntry);
  }

  /** Aborts the requests across a new cut and notifies the dispatcher. */
  private void setCut(Dispatcher dispatcher, boolean newCut) {
    isCut = newCut;
    List.copyOf(running).stream()
        .filter(job -> !reaches(domainOf(job.request), job.engine))
        .forEach(job -> job.abort.run());
    dispatcher.onCut(newCut);
  }

  /** Records the tokens and the end of a job and notifies its dispatcher of them. */
  private final class JobTracker {
    private final Consumer<EngineFake.Job> onToken;
    private final Consumer<EngineFake.Job> onEnd;
    private EngineFake.Job job;
    private long firstTokenMicros;

    JobTracker(Consumer<EngineFake.Job> onToken, Consumer<EngineFake.Job> onEnd) {
      this.onToken = onToken;
      this.onEnd = onEnd;
    }

    void recordToken() {
      if (job.generatedTokens == 1) {
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
      outcomes.recordEnd(job, firstTokenMicros, timer.nanoTime() / 1_000);
      onEnd.accept(job);
    }
  }
}
