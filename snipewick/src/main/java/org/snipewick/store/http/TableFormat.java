package org.snipewick.store.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.snipewick.store.ListedInstance;
import org.snipewick.store.Row;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;

/** JSON of the platform's table and instance list. */
final class TableFormat {
  static final String TABLE = "/table";

  private static final ObjectMapper JSON =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);
  private static final TypeReference<List<Row>> ROWS = new TypeReference<>() {};
  private static final TypeReference<List<ListedInstance>> INSTANCES = new TypeReference<>() {};
  private static final TypeReference<List<Result>> RESULTS = new TypeReference<>() {};

  private TableFormat() {}

  @JsonInclude(JsonInclude.Include.NON_NULL)
  private record Operation(String op, String key, long version, String value) {}

  private record Result(boolean applied, long version, Row current) {}

  /** Returns a write as JSON; empty if its text is not representable. */
  static Optional<byte[]> operation(Write write) {
    try {
      return Optional.of(JSON.writeValueAsBytes(toOperation(write)));
    } catch (JsonProcessingException malformed) {
      return Optional.empty();
    }
  }

  /** Returns the body of a call from the JSON of its writes. */
  static byte[] batch(List<byte[]> operations) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    body.write('[');
    for (int index = 0; index < operations.size(); index++) {
      if (index > 0) {
        body.write(',');
      }
      body.writeBytes(operations.get(index));
    }
    body.write(']');
    return body.toByteArray();
  }

  /** Returns one result for each write of a batch whose call may have had an effect. */
  static List<WriteResult> results(Reply reply, int size) {
    if (reply instanceof Reply.Answered answered && answered.status() == Reply.OK) {
      try {
        List<Result> results = list(answered.body(), RESULTS);
        if (results.size() == size) {
          return results.stream().map(TableFormat::result).toList();
        }
      } catch (IOException malformed) {
        return ambiguous("malformed answer", size);
      }
      return ambiguous("answer of another length", size);
    }
    return ambiguous(reply.detail(), size);
  }

  static List<Row> rows(byte[] body) throws IOException {
    return list(body, ROWS);
  }

  static List<ListedInstance> instances(byte[] body) throws IOException {
    return list(body, INSTANCES);
  }

  private static <T> List<T> list(byte[] body, TypeReference<List<T>> type) throws IOException {
    List<T> values = JSON.readValue(body, type);
    if (values == null || values.stream().anyMatch(Objects::isNull)) {
      throw new IOException("null in place of a list or of its element");
    }
    return List.copyOf(values);
  }

  private static List<WriteResult> ambiguous(String detail, int size) {
    return Collections.nCopies(size, new WriteResult.Ambiguous(detail));
  }

  private static WriteResult result(Result result) {
    return result.applied()
        ? new WriteResult.Applied(result.version())
        : new WriteResult.Conflict(Optional.ofNullable(result.current()));
  }

  private static Operation toOperation(Write write) {
    if (write instanceof Write.Insert insert) {
      return new Operation("insert", insert.key(), 0, insert.value());
    }
    if (write instanceof Write.Replace replace) {
      return new Operation("replace", replace.key(), replace.version(), replace.value());
    }
    Write.Delete delete = (Write.Delete) write;
    return new Operation("delete", delete.key(), delete.version(), null);
  }
}
