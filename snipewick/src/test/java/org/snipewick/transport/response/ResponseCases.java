package org.snipewick.transport.response;

import java.util.List;
import java.util.stream.Stream;

/**
 * Responses that the grammar of HTTP/1.1 allows or does not allow (RFC 9112 and 9110), for the
 * tests of each client. Each malformed one has a single error and is sound otherwise.
 */
public final class ResponseCases {
  private static final String OK = "HTTP/1.1 200 OK\r\n[F]";
  private static final String LENGTH = "Content-Length: [L]\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
  private static final String END = "0\r\n\r\n";

  private ResponseCases() {}

  /** Returns responses that must not reach a caller, and whose fields must not be believed. */
  public static List<ResponseCase> malformed() {
    return Stream.of(
            lengths(),
            codings(),
            names(),
            values(),
            statusLines(),
            bodiless(),
            chunks(),
            trailers(),
            ends())
        .flatMap(cases -> cases)
        .toList();
  }

  /** Returns responses whose connection ends before them. */
  public static List<ResponseCase> truncated() {
    return List.of(
        head("length longer than the body", "Content-Length: 1[L]\r\n"),
        head("length that overflows to that of the body", "Content-Length: [H]\r\n"),
        body("last chunk missing", "[C]"),
        body("end of the last chunk missing", "[C]0\r\n"));
  }

  /** Returns responses with the whole body that a caller must receive. */
  public static List<ResponseCase> sound() {
    return Stream.concat(soundFields(), soundBodies()).toList();
  }

  /** Returns responses whose body ends with the connection. */
  public static List<ResponseCase> endingWithConnection() {
    return List.of(
        new ResponseCase("neither length nor chunks", OK + "\r\n[B]"),
        new ResponseCase(
            "version 1.0, neither length nor chunks", "HTTP/1.0 200 OK\r\n[F]\r\n[B]"));
  }

  private static Stream<ResponseCase> lengths() {
    Stream<ResponseCase> values =
        Stream.of(
                "",
                " ",
                "\t",
                "+[L]",
                "-[L]",
                "0x[L]",
                "[L] 0",
                "[L].0",
                "[L];q=1",
                "[L], [L]",
                "[L],",
                "1, [L]",
                "[00][L]",
                "[L][00]",
                "[L][01]",
                "\"[L]\"",
                "[L]e0",
                "99999999999999999999",
                "18446744073709551616")
            .map(value -> head("length '" + value + "'", "Content-Length: " + value + "\r\n"));
    return Stream.concat(
        values,
        Stream.of(
            head("lengths that differ, short one first", "Content-Length: 2\r\n" + LENGTH),
            head("lengths that differ, long one first", LENGTH + "Content-Length: 2\r\n"),
            chunked("length before chunks", LENGTH + CHUNKED),
            chunked("length behind chunks", CHUNKED + LENGTH),
            chunked("length 0 beside chunks", "Content-Length: 0\r\n" + CHUNKED),
            head("length beside chunks that are none", CHUNKED + LENGTH)));
  }

  private static Stream<ResponseCase> codings() {
    Stream<ResponseCase> values =
        Stream.of(
                "xchunked",
                "chunkedx",
                "chunke",
                "chunke d",
                "chunked, identity",
                "identity, chunked",
                "chunked, chunked",
                "gzip, chunked",
                "identity",
                "gzip",
                "chunked;q=1",
                "chunked,",
                "chunked ",
                "chunked\t",
                ",chunked",
                "\"chunked\"",
                "",
                " ",
                "[01]chunked",
                "chunked[01]",
                "[0b]chunked",
                "chunked[00]")
            .map(
                value -> chunked("coding '" + value + "'", "Transfer-Encoding: " + value + "\r\n"));
    return Stream.concat(
        values,
        Stream.of(
            chunked("coding twice", CHUNKED + CHUNKED),
            chunked("another coding before chunked", "Transfer-Encoding: gzip\r\n" + CHUNKED),
            new ResponseCase(
                "chunks in version 1.0", "HTTP/1.0 200 OK\r\n[F]" + CHUNKED + "\r\n[C]" + END)));
  }

  private static Stream<ResponseCase> names() {
    Stream<ResponseCase> odd =
        Stream.of(" ", "\t", "[00]", "[01]", "[0b]", "[0c]", "[7f]", "[e9]", "(", "[0d]")
            .flatMap(ResponseCases::namesWith);
    return Stream.concat(
        odd,
        Stream.of(
            head("colon alone", LENGTH + ":\r\n"),
            head("empty name", LENGTH + ": value\r\n"),
            head("line without colon", LENGTH + "Other\r\n"),
            head("line without colon first", "Other\r\n" + LENGTH),
            new ResponseCase(
                "line feed alone beside other line ends", OK + LENGTH + "Other: x\n\r\n[B]"),
            new ResponseCase(
                "empty line with a line feed alone",
                "HTTP/1.1 200 OK\r\n[F]\n" + LENGTH + "\r\n[B]"),
            new ResponseCase(
                "fold behind the status line",
                "HTTP/1.1 200 OK\r\n fold\r\n[F]" + LENGTH + "\r\n[B]")));
  }

  private static Stream<ResponseCase> namesWith(String odd) {
    return Stream.of(
        head("'" + odd + "' in name of length", "Content" + odd + "-Length: [L]\r\n"),
        head("'" + odd + "' behind name of length", "Content-Length" + odd + ": [L]\r\n"),
        head("'" + odd + "' before name of length", odd + "Content-Length: [L]\r\n"),
        chunked("'" + odd + "' in name of coding", "Transfer" + odd + "-Encoding: chunked\r\n"),
        chunked("'" + odd + "' behind name of coding", "Transfer-Encoding" + odd + ": chunked\r\n"),
        head("'" + odd + "' in name before length", "Oth" + odd + "er: x\r\n" + LENGTH),
        head("'" + odd + "' behind name", "Other" + odd + ": x\r\n" + LENGTH),
        head("'" + odd + "' in name behind length", LENGTH + "Oth" + odd + "er: x\r\n"),
        head("'" + odd + "' before name", LENGTH + odd + "Other: x\r\n"));
  }

  private static Stream<ResponseCase> values() {
    return Stream.of("[00]", "[01]", "[08]", "[0b]", "[0c]", "[1b]", "[7f]", "[0d]")
        .flatMap(ResponseCases::valuesWith);
  }

  private static Stream<ResponseCase> valuesWith(String odd) {
    return Stream.of(
        head("'" + odd + "' in value", LENGTH + "Other: a" + odd + "b: c\r\n"),
        head("'" + odd + "' before value", LENGTH + "Other:" + odd + "b\r\n"),
        head("'" + odd + "' in content type", "Content-Type: a" + odd + "b: c\r\n" + LENGTH),
        head("'" + odd + "' behind value", "Other: a" + odd + "\r\n" + LENGTH));
  }

  private static Stream<ResponseCase> statusLines() {
    Stream<ResponseCase> lines =
        Stream.of(
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 000 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 099 OK",
                "HTTP/1.1 600 OK",
                "HTTP/1.1 -1 OK",
                "HTTP/1.1 2a0 OK",
                "HTTP/1.1 200OK",
                "HTTP/1.1  200 OK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1 200\tOK",
                "HTTP/1.2 200 OK",
                "HTTP/2.0 200 OK",
                "HTTP/1.10 200 OK",
                "http/1.1 200 OK",
                "HTTP/1.1",
                "HTTP/1.1 ",
                "200 OK",
                " HTTP/1.1 200 OK",
                "\r\nHTTP/1.1 200 OK",
                "[00]HTTP/1.1 200 OK",
                "HTTP/1.1 200 O[01]K",
                "HTTP/1.1 200 O[00]K",
                "HTTP/1.1 200 O[7f]K",
                "HTTP/1.1 200 O\rK",
                "HTTP/1.1 200\rOK")
            .map(
                line ->
                    new ResponseCase(
                        "status line '" + line + "'", line + "\r\n[F]" + LENGTH + "\r\n[B]"));
    return Stream.concat(
        lines,
        Stream.of(
            new ResponseCase("status 100", interim("100 Continue")),
            new ResponseCase("status 101", interim("101 Switching")),
            new ResponseCase("status 150", interim("150 Odd")),
            new ResponseCase(
                "odd field of status 100",
                "HTTP/1.1 100 Continue\r\nOth er: x\r\n\r\n" + OK + LENGTH + "\r\n[B]")));
  }

  private static String interim(String status) {
    return "HTTP/1.1 " + status + "\r\n[F]" + LENGTH + "\r\n[B]";
  }

  private static Stream<ResponseCase> bodiless() {
    return Stream.of(
        new ResponseCase("204 with a body", "HTTP/1.1 204 Empty\r\n[F]" + LENGTH + "\r\n[B]"),
        new ResponseCase("204 in chunks", "HTTP/1.1 204 Empty\r\n[F]" + CHUNKED + "\r\n[C]" + END));
  }

  private static Stream<ResponseCase> chunks() {
    Stream<ResponseCase> sizes =
        Stream.of(
                "",
                "x",
                "0x2",
                "-2",
                "+2",
                " 2",
                "2 2",
                "2\t2",
                "2;[01]",
                "2;a\rb",
                "2[00]",
                "100000002",
                "ffffffffffffffff2",
                "2,")
            .map(size -> body("chunk size '" + size + "'", size + "\r\nid\r\n" + END));
    return Stream.concat(
        sizes,
        Stream.of(
            body("chunk longer than its size", "1\r\nid\r\n" + END),
            body("chunk shorter than its size", "3\r\nid\r\n" + END),
            body("chunk size ended by a line feed", "2\nid\r\n" + END),
            body("chunk ended by a line feed", "2\r\nid\n" + END),
            body("chunk ended by a carriage return", "2\r\nid\r" + END),
            body("last chunk with data", "[C]0\r\nid\r\n" + END),
            body("body is not in chunks", "[B]")));
  }

  private static Stream<ResponseCase> trailers() {
    return Stream.of(
            "Other",
            ": value",
            "Oth er: x",
            "Other : x",
            "Oth[01]er: x",
            "Other: a[00]",
            "Other: a\rb",
            " Other: x",
            "[7f]: x")
        .map(trailer -> body("trailer '" + trailer + "'", "[C]0\r\n" + trailer + "\r\n\r\n"));
  }

  private static Stream<ResponseCase> ends() {
    return Stream.of(
        head("length 0 before a body", "Content-Length: 0\r\n"),
        head("length shorter than the body", "Content-Length: 2\r\n"),
        new ResponseCase("204 before bytes", "HTTP/1.1 204 Empty\r\n[F]\r\n[B]"),
        new ResponseCase("bytes behind the length", OK + LENGTH + "\r\n[B]x"),
        new ResponseCase("bytes behind the chunks", OK + CHUNKED + "\r\n[C]" + END + "x"),
        new ResponseCase("chunks behind chunks", OK + CHUNKED + "\r\n[C]" + END + "[C]" + END));
  }

  private static Stream<ResponseCase> soundFields() {
    return Stream.of(
            LENGTH,
            "Content-Length:[L]\r\n",
            "Content-Length: \t [L]\t \r\n",
            "content-length: [L]\r\n",
            "CONTENT-LENGTH: [L]\r\n",
            "Content-Length: 000[L]\r\n",
            LENGTH + LENGTH,
            LENGTH + "Other:\r\n",
            LENGTH + "Other: \t\r\n",
            LENGTH + "Other: a\tb [e9][ff] ~!\r\n",
            LENGTH + "!#$%&'*+-.^_`|~09azAZ: x\r\n",
            LENGTH + "Content-Lengthy: 2\r\nContent-Lengt: 2\r\nTransfer-Encodings: gzip\r\n",
            LENGTH + "Other: 1\r\nOther: 2\r\n")
        .map(fields -> head("fields '" + fields + "'", fields));
  }

  private static Stream<ResponseCase> soundBodies() {
    Stream<ResponseCase> chunked =
        Stream.of(
                "Transfer-Encoding:chunked\r\n",
                "Transfer-Encoding: \tchunked\r\n",
                "transfer-encoding: chunked\r\n",
                "TRANSFER-ENCODING: Chunked\r\n",
                "Transfer-Encoding: CHUNKED\r\n")
            .map(fields -> chunked("fields '" + fields + "'", fields));
    Stream<ResponseCase> bodies =
        Stream.of(
                "[C]0\r\n\r\n",
                "[C]000\r\n\r\n",
                "[C]0;last\r\n\r\n",
                "[C]0\r\nOther: x\r\n\r\n",
                "[C]0\r\nContent-Length: 2\r\nOther: [e9]\r\n\r\n",
                "[C]0\r\n\r\n\r\n")
            .map(body -> body("body '" + body + "'", body));
    Stream<ResponseCase> others =
        Stream.of(
            new ResponseCase("no reason phrase", "HTTP/1.1 200 \r\n[F]" + LENGTH + "\r\n[B]"),
            new ResponseCase("no blank behind status", "HTTP/1.1 200\r\n[F]" + LENGTH + "\r\n[B]"),
            new ResponseCase(
                "reason phrase", "HTTP/1.1 200 \tAll is [e9]\r\n[F]" + LENGTH + "\r\n[B]"),
            new ResponseCase("version 1.0", "HTTP/1.0 200 OK\r\n[F]" + LENGTH + "\r\n[B]"),
            new ResponseCase("line feed alone", "HTTP/1.1 200 OK\n[F]Content-Length: [L]\n\n[B]"),
            new ResponseCase("empty line behind the body", OK + LENGTH + "\r\n[B]\r\n"));
    return Stream.of(chunked, bodies, others).flatMap(cases -> cases);
  }

  private static ResponseCase head(String name, String fields) {
    return new ResponseCase(name, OK + fields + "\r\n[B]");
  }

  private static ResponseCase chunked(String name, String fields) {
    return new ResponseCase(name, OK + fields + "\r\n[C]" + END);
  }

  private static ResponseCase body(String name, String body) {
    return new ResponseCase(name, OK + CHUNKED + "\r\n" + body);
  }
}
