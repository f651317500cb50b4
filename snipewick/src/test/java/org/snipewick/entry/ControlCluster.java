package org.snipewick.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.snipewick.catalogue.Catalogue;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.catalogue.Entry;
import org.snipewick.discovery.DiscoveryMessages;
import org.snipewick.discovery.EndpointDirectory;
import org.snipewick.discovery.EndpointListener;
import org.snipewick.discovery.EndpointStatuses;
import org.snipewick.endpoint.LoadReport;
import org.snipewick.endpoint.LoadReportPoller;
import org.snipewick.event.EventLog;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;
import org.snipewick.limits.LeasedTeamLimits;
import org.snipewick.limits.LimitMessages;
import org.snipewick.membership.Cluster;
import org.snipewick.membership.MembershipMessages;
import org.snipewick.peer.PeerCodec;
import org.snipewick.pool.PeerPoolClient;
import org.snipewick.pool.PoolClient;
import org.snipewick.pool.PoolController;
import org.snipewick.pool.PoolMessages;
import org.snipewick.pool.PoolPolicy;
import org.snipewick.pool.SchedulerSettings;
import org.snipewick.pool.WorkEvent;
import org.snipewick.pool.WorkRequest;
import org.snipewick.store.InstanceList;
import org.snipewick.store.ListedInstance;
import org.snipewick.time.VirtualTimerService;

/**
 * Runs many instances under load in virtual time, with membership, endpoints, schedulers and
 * limits.
 */
final class ControlCluster {
  /** Message kind under which the bytes of load reports are counted. */
  static final String LOAD_REPORT_KIND = "endpoint.LoadReport";

  private static final int PROMPT_TOKENS = 160;
  private static final int OUTPUT_TOKENS = 300;
  private static final int SLOTS_PER_ENDPOINT = 16;
  private static final int PROGRESS_STEPS = 20;
  private static final Duration FIRST_TOKEN_DELAY = Duration.ofMillis(500);
  private static final Duration RESPONSE_DURATION = Duration.ofSeconds(5);
  private static final Duration DEADLINE = Duration.ofMinutes(10);
  private static final Duration ARRIVAL_PERIOD = Duration.ofMillis(10);

  /**
   * Size of a run.
   *
   * @param domains failure domains
   * @param instancesPerDomain instances in each failure domain
   * @param endpointsPerDomain endpoints in each failure domain
   * @param models number of models, each with a pool
   * @param teams number of teams
   * @param requestsPerSecond requests per second of all instances together
   * @param skewed whether requests and endpoints are distributed by a Zipf law (the k-th team and
   *     pool have 1/k of the first one's) or evenly
   */
  record Size(
      int domains,
      int instancesPerDomain,
      int endpointsPerDomain,
      int models,
      int teams,
      int requestsPerSecond,
      boolean skewed) {}

  final Cluster cluster;
  long admitted;
  final Map<String, Integer> refusals = new TreeMap<>();
  private final Size size;
  private final long loadReportBytes;
  private final Random random;
  private final CatalogueSource catalogue;
  private final IndexSampler teamSampler;
  private final IndexSampler poolSampler;
  private final Map<String, List<ListedInstance>> endpointsByDomain = new HashMap<>();
  private final List<EntryInstance> entryInstances = new ArrayList<>();
  private long sequence;

  /** Components of an instance that handle a request. */
  private record EntryInstance(InstanceId id, LeasedTeamLimits limits, PeerPoolClient client) {}

  /** Samples indexes from 0, evenly or with the k-th having 1/k of the first one's probability. */
  private record IndexSampler(double[] cumulativeWeights) {
    static IndexSampler of(int count, boolean skewed) {
      double[] sums = new double[count];
      double sum = 0;
      for (int i = 0; i < count; i++) {
        sum += skewed ? 1.0 / (i + 1) : 1;
        sums[i] = sum;
      }
      return new IndexSampler(sums);
    }

    int next(double uniform) {
      int found =
          Arrays.binarySearch(
              cumulativeWeights, uniform * cumulativeWeights[cumulativeWeights.length - 1]);
      return found < 0 ? -found - 1 : Math.min(found + 1, cumulativeWeights.length - 1);
    }

    double share(int index) {
      return (cumulativeWeights[index] - (index == 0 ? 0 : cumulativeWeights[index - 1]))
          / cumulativeWeights[cumulativeWeights.length - 1];
    }
  }

  private record FixedCatalogue(Catalogue current) implements CatalogueSource {
    @Override
    public void subscribe(Consumer<Catalogue> listener) {
      // The catalogue never changes.
    }
  }

  ControlCluster(Size size, long loadReportBytes, long seed) {
    this.size = size;
    this.loadReportBytes = loadReportBytes;
    this.random = new Random(seed);
    this.teamSampler = IndexSampler.of(size.teams(), size.skewed());
    this.poolSampler = IndexSampler.of(size.models(), size.skewed());
    this.catalogue = new FixedCatalogue(Catalogue.ofAll(1, entries()));
    this.cluster =
        new Cluster(
            seed,
            PeerCodec.ofAll(
                MembershipMessages.MESSAGE_TYPES,
                DiscoveryMessages.MESSAGE_TYPES,
                PoolMessages.MESSAGE_TYPES,
                LimitMessages.MESSAGE_TYPES));
    cluster.extend((all, node) -> addComponents(node));
    for (int domain = 0; domain < size.domains(); domain++) {
      endpointsByDomain.put("d" + domain, endpointsOf(domain));
    }
  }

  private List<Entry> entries() {
    List<Entry> entries = new ArrayList<>();
    for (int team = 0; team < size.teams(); team++) {
      double requests = Math.max(2, 4 * size.requestsPerSecond() * teamSampler.share(team));
      int inFlight = (int) Math.max(20, 2 * requests * RESPONSE_DURATION.toSeconds());
      double tokens = requests * (PROMPT_TOKENS + OUTPUT_TOKENS);
      entries.add(
          new Entry.Team("team" + team, "owner", Tier.TWO, "00", tokens, requests, inFlight));
    }
    return entries;
  }

  private List<ListedInstance> endpointsOf(int domain) {
    List<ListedInstance> listed = new ArrayList<>();
    for (int i = 0; i < size.endpointsPerDomain(); i++) {
      listed.add(
          new ListedInstance(
              "engine-" + domain + "-" + i,
              ListedInstance.Kind.ENDPOINT,
              FailureDomain.of("d" + domain),
              "10.0.12.34",
              8000,
              "model" + poolSampler.next((i + 0.5) / size.endpointsPerDomain()),
              ListedInstance.State.LIVE));
    }
    return listed;
  }

  private void addComponents(Cluster.Node node) {
    String domain = node.id().value().substring(0, node.id().value().indexOf('.'));
    PoolController controller =
        PoolController.start(
            node.membership(),
            node.network(),
            node.timer(),
            EventLog.none(),
            PoolPolicy.standard(),
            SchedulerSettings.defaults());
    EndpointDirectory directory =
        EndpointDirectory.start(
            node.membership(), endpointList(domain), node.network(), node.timer());
    EndpointStatuses statuses =
        EndpointStatuses.start(
            node.membership(),
            catalogue,
            directory,
            EndpointListener.forwardingTo(controller),
            node.timer());
    LoadReportPoller unused =
        LoadReportPoller.start(
            endpoint -> reportLoad(node.id()),
            statuses,
            statuses::updateReport,
            node.timer(),
            EventLog.none(),
            Duration.ofMillis(LoadReportPoller.DEFAULT_PERIOD_MILLIS));
    entryInstances.add(
        new EntryInstance(
            node.id(),
            LeasedTeamLimits.start(node.membership(), node.network(), node.timer(), catalogue),
            PeerPoolClient.start(node.membership(), node.network(), node.timer())));
  }

  private InstanceList endpointList(String domain) {
    return () -> CompletableFuture.completedFuture(endpointsByDomain.get(domain));
  }

  private CompletableFuture<LoadReport> reportLoad(InstanceId receiver) {
    cluster.bytes.add(LOAD_REPORT_KIND, receiver, loadReportBytes);
    return CompletableFuture.completedFuture(
        new LoadReport(
            "live",
            random.nextInt(SLOTS_PER_ENDPOINT),
            0,
            9_000,
            131_072,
            65_536,
            SLOTS_PER_ENDPOINT));
  }

  /** Starts all instances, and the load 15 s later, when the membership has converged. */
  void start() {
    for (int domain = 0; domain < size.domains(); domain++) {
      for (int i = 0; i < size.instancesPerDomain(); i++) {
        cluster.addToList("d" + domain + "." + i);
      }
    }
    cluster.start(cluster.listed().stream().map(ListedInstance::id).toArray(String[]::new));
    cluster.advance(Duration.ofSeconds(15));
    VirtualTimerService clock = cluster.clock;
    double[] dueRequests = {0};
    var unused =
        clock.every(
            ARRIVAL_PERIOD,
            () -> {
              dueRequests[0] += size.requestsPerSecond() * ARRIVAL_PERIOD.toMillis() / 1_000.0;
              for (; dueRequests[0] >= 1; dueRequests[0]--) {
                submitRequest(entryInstances.get(random.nextInt(entryInstances.size())));
              }
            });
  }

  private void submitRequest(EntryInstance instance) {
    TeamName team = TeamName.of("team" + teamSampler.next(random.nextDouble()));
    int tokens = PROMPT_TOKENS + OUTPUT_TOKENS;
    Optional<Failure> refusal = instance.limits().tryAcquire(team, tokens);
    if (refusal.isPresent()) {
      refusals.merge("at the limit", 1, Integer::sum);
      return;
    }
    WorkRequest work =
        new WorkRequest(
            RequestId.of(instance.id(), 1_764_800_000_000L, ++sequence),
            team,
            PoolName.of("model" + poolSampler.next(random.nextDouble())),
            Tier.TWO,
            PROMPT_TOKENS,
            OUTPUT_TOKENS,
            List.of(),
            0,
            DEADLINE.toMillis());
    var unused =
        instance
            .client()
            .acquire(work, cancel -> {})
            .whenComplete(
                (permit, failure) -> {
                  if (failure != null) {
                    String reason = FailureException.unwrap(failure).type().toString();
                    refusals.merge(reason, 1, Integer::sum);
                    instance.limits().release(team, tokens, 0);
                  } else {
                    admitted++;
                    serve(permit, () -> instance.limits().release(team, tokens, tokens));
                  }
                });
  }

  private void serve(PoolClient.Permit permit, Runnable whenDone) {
    permit.use();
    cluster.clock.after(FIRST_TOKEN_DELAY, permit::reportFirstToken);
    for (int step = 1; step < PROGRESS_STEPS; step++) {
      int tokens = OUTPUT_TOKENS * step / PROGRESS_STEPS;
      cluster.clock.after(
          RESPONSE_DURATION.multipliedBy(step).dividedBy(PROGRESS_STEPS),
          () -> permit.reportProgress(tokens));
    }
    cluster.clock.after(
        RESPONSE_DURATION,
        () -> {
          permit.finish(WorkEvent.Result.COMPLETE, OUTPUT_TOKENS);
          whenDone.run();
        });
  }
}
