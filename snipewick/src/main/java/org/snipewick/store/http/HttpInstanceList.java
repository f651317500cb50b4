package org.snipewick.store.http;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.snipewick.identity.FailureDomain;
import org.snipewick.store.InstanceList;
import org.snipewick.store.ListedInstance;

/**
 * The platform's list of instances over HTTP. It asks for a part of the list, and only if that has
 * changed; a platform may ignore either, or refuse to serve parts.
 */
public final class HttpInstanceList implements InstanceList {
  private static final String INSTANCES = "/instances";
  private static final String ENTRIES = INSTANCES + "?kind=entry";
  private static final String DOMAIN = INSTANCES + "?domain=";

  private final Reads reads;
  private final Parsing parsing;
  private final Map<String, Known> knownByPath = new ConcurrentHashMap<>();
  private volatile boolean partsRefused;

  HttpInstanceList(Reads reads, Parsing parsing) {
    this.reads = requireNonNull(reads, "reads");
    this.parsing = requireNonNull(parsing, "parsing");
  }

  /** A list with the entity tag by which the platform tells whether it has changed. */
  private record Known(String entityTag, List<ListedInstance> instances) {}

  @Override
  public CompletableFuture<List<ListedInstance>> list() {
    return read(INSTANCES)
        .thenCompose(
            found ->
                parsing.parse(() -> found.orElseThrow(() -> new IOException("list not served"))));
  }

  @Override
  public CompletableFuture<List<ListedInstance>> entries() {
    return part(ENTRIES, ListedInstance::isEntry);
  }

  @Override
  public CompletableFuture<List<ListedInstance>> endpointsIn(FailureDomain domain) {
    return part(
        DOMAIN + Transport.encode(domain.value()), instance -> instance.isEndpointIn(domain));
  }

  /** Reads a part of the list, and picks it from the whole one if the platform does not. */
  private CompletableFuture<List<ListedInstance>> part(
      String path, Predicate<ListedInstance> belongs) {
    CompletableFuture<List<ListedInstance>> read =
        partsRefused
            ? list()
            : read(path)
                .thenCompose(
                    found ->
                        found
                            .map(CompletableFuture::completedFuture)
                            .orElseGet(this::wholeFromNowOn));
    return read.thenApply(instances -> instances.stream().filter(belongs).toList());
  }

  private CompletableFuture<List<ListedInstance>> wholeFromNowOn() {
    partsRefused = true;
    return list();
  }

  /** Reads a path; completes empty if the platform does not serve it. */
  private CompletableFuture<Optional<List<ListedInstance>>> read(String path) {
    Known known = knownByPath.get(path);
    CompletableFuture<Reply.Answered> answer =
        known == null ? reads.getIfServed(path) : reads.getIfChanged(path, known.entityTag());
    return answer.thenCompose(given -> parsing.parse(() -> take(path, known, given)));
  }

  private Optional<List<ListedInstance>> take(String path, Known known, Reply.Answered answer)
      throws IOException {
    if (answer.status() == Reply.NOT_MODIFIED) {
      return Optional.of(known.instances());
    }
    if (answer.status() != Reply.OK) {
      return Optional.empty();
    }
    List<ListedInstance> instances = TableFormat.instances(answer.body());
    answer
        .entityTag()
        .ifPresentOrElse(
            tag -> knownByPath.put(path, new Known(tag, instances)),
            () -> knownByPath.remove(path));
    return Optional.of(instances);
  }
}
