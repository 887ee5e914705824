// Package response reads the responses of HTTP/1.1 servers and fails for those that deviate from the grammar of RFC 9110 and RFC 9112. net/http accepts some
// of them: statuses outside 100 to 599, blanks in field names, conflicting framing, and bodies whose connection was reset.
package response
