package org.snipewick.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouteTableTest {
  private static final RouteTable TABLE =
      RouteTable.of(
          List.of(
              Plans.route("short", "/a/"),
              Plans.route("long", "/a/b/"),
              Plans.route("other", "/c/")));

  @ParameterizedTest
  @CsvSource({
    "desk.example, /a/x, short",
    "desk.example, /a/b/x, long",
    "desk.example, /a/b/, long",
    "desk.example, /a/b, short",
    "DESK.example:8080, /c/d/e, other",
    "desk.example, /a, none",
    "desk.example, /d/, none",
    "desk.example, '', none",
    "other.example, /a/x, none",
    "desk.example, /ab/x, none"
  })
  void shouldFindLongestPrefixWhenPathBeginsWithIt(String host, String path, String expected) {
    assertThat(TABLE.find(host, path).map(Route::name).orElse("none")).isEqualTo(expected);
  }
}
