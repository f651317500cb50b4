package org.snipewick.store.http;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import org.snipewick.store.WeightStore;

/** The platform's weight store over HTTP, asked by HEAD. */
public final class HttpWeightStore implements WeightStore {
  private static final String WEIGHTS = "/weights/";

  private final Reads reads;

  HttpWeightStore(Reads reads) {
    this.reads = requireNonNull(reads, "reads");
  }

  @Override
  public CompletableFuture<Boolean> contains(String name) {
    return reads
        .head(WEIGHTS + Transport.encode(requireNonNull(name, "name")))
        .thenApply(answer -> answer.status() == Reply.OK);
  }
}
