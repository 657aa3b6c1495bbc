// Package pace decides where and when a prompt may be sent so that the streams that run at an engine keep their pace. An engine reads prompts in
// the same steps in which it writes tokens, so that prompts which come together stop all its streams. It performs no I/O and is not safe for
// concurrent use; the caller passes the time.
package pace
