package org.snipewick.store.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;

/** The platform's table over HTTP; results complete on threads of the HTTP client or timer. */
public final class HttpTable implements Table {
  private static final String ROWS = TableFormat.TABLE + "/";
  private static final String SCAN = TableFormat.TABLE + "?prefix=";

  private final Reads reads;
  private final WriteBatcher writes;
  private final Parsing parsing;

  HttpTable(Reads reads, WriteBatcher writes, Parsing parsing) {
    this.reads = requireNonNull(reads, "reads");
    this.writes = requireNonNull(writes, "writes");
    this.parsing = requireNonNull(parsing, "parsing");
  }

  @Override
  public CompletableFuture<Optional<Row>> read(String key) {
    return reads.get(path(key)).thenCompose(answer -> row(key, answer));
  }

  @Override
  public CompletableFuture<List<Row>> scan(String prefix) {
    String path = SCAN + Transport.encode(requireNonNull(prefix, "prefix"));
    return reads
        .get(path)
        .thenCompose(answer -> parsing.parse(() -> TableFormat.rows(answer.body())));
  }

  @Override
  public CompletableFuture<WriteResult> write(Write write) {
    return writes.add(write).whenComplete((result, failure) -> separate(write.key()));
  }

  private void separate(String key) {
    reads.separate(path(key));
    String scanOfKey = SCAN + Transport.encode(key);
    reads.separateScans(path -> path.startsWith(SCAN) && scanOfKey.startsWith(path));
  }

  private CompletableFuture<Optional<Row>> row(String key, Reply.Answered answer) {
    if (answer.status() == Reply.NOT_FOUND) {
      return CompletableFuture.completedFuture(Optional.empty());
    }
    return parsing.parse(
        () -> {
          long version = answer.version().orElseThrow(() -> new IOException("no version"));
          return Optional.of(new Row(key, version, new String(answer.body(), UTF_8)));
        });
  }

  private static String path(String key) {
    return ROWS + Transport.encode(requireNonNull(key, "key"));
  }
}
