/*
 * JSON values that an unknown field may hold by RFC 8259, and texts that are no JSON, for the tests
 * of the decoders.
 */
#ifndef WS_TEST_ODD_JSON_H
#define WS_TEST_ODD_JSON_H

/* The unknown field of a submission that was once refused as malformed. */
#define ODD_LABELS                                                                                     \
	"{\"größe\":\"日本語 ✓\",\"n\":18446744073709551615,\"m\":-7,\"f\":1.25,\"none\":null," \
	"\"l\":[[],{},true],\"deep\":[[[[[]]]]]}"

/* Values that JSON libraries commonly refuse, in one object. */
#define ODD_VALUES                                                                                 \
	"{\"u64\":18446744073709551615,\"big\":[18446744073709551616,-9223372036854775809],"       \
	"\"huge\":[1e400,-1E+400,1e-400],\"nul\\u0000\":\"\\u0000\",\"\":0,\"twice\":1,"           \
	"\"twice\":2,\"half\":[\"\\ud800\",\"\\udc00 x\",\"\\ud83d\\ud83d\\ude00\"],"              \
	"\"labels\":" ODD_LABELS "}"

static const char *const odd_values[] = {
    (ODD_LABELS),
    (ODD_VALUES),
    "9223372036854775808",
    "18446744073709551615",
    "18446744073709551616",
    "-9223372036854775809",
    "123456789012345678901234567890123456789012345678901234567890",
    "1e400",
    "-1e400",
    "[1e999,{\"a\":-2E+9999}]",
    "1e-9999",
    "1.0000000000000000000000000000000000000000000000000000000000001",
    "-0",
    "-0.0",
    "\"\\u0000\"",
    "{\"\\u0000\":1,\"a\\u0000b\":2}",
    "{\"\":1}",
    "{\"a\":1,\"a\":2}",
    "[{\"a\":{\"b\":1,\"b\":2}}]",
    "\"\\ud800\"",
    "\"\\udc00\"",
    "\"\\ud800\\u0041\"",
    "\"\\ud83d\\ud83d\\ude00\"",
    "{\"\\udfff\":\"\\\\ud800\"}",
    "\"\\\"\\\\\\/\\b\\f\\n\\r\\t\"",
    " [ 1 , 2 ]\t\r\n",
};

static const char *const malformed_values[] = {
    "",
    "01",
    "1.",
    ".5",
    "+1",
    "-",
    "1e",
    "--1",
    "0x10",
    "NaN",
    "Infinity",
    "nul",
    "TRUE",
    "'a'",
    "\"\\x\"",
    "\"\\u12\"",
    "\"\xff\"",
    "\"\x01\"",
    "\"open",
    "[",
    "[1,]",
    "[1 2]",
    "{\"a\"}",
    "{\"a\":}",
    "{a:1}",
    "{\"a\":1,}",
    "1 2",
    "1e400x",
    "[1e400,01]",
    "[18446744073709551616,]",
    "\"\\ud800\\uzzzz\"",
    "[\"\\ud800\",nul]",
    "\"\xed\xa0\x80\"",
    "\"\xc0\x80\"",
    "/* */ 1",
};

#define ODD_COUNT (sizeof(odd_values) / sizeof(odd_values[0]))
#define MALFORMED_COUNT (sizeof(malformed_values) / sizeof(malformed_values[0]))
#endif
