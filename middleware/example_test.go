package middleware_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"quartzpoint"
	"quartzpoint/middleware"
)

func ExampleNew() {
	gate, err := quartzpoint.New(quartzpoint.Options{})
	if err != nil {
		panic(err)
	}
	defer func() { _ = gate.Shutdown(context.Background()) }() // returns nil once all requests are answered
	handler := middleware.New(gate, middleware.Options{})(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "a table for two")
	}))
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/slots", nil))
	fmt.Println(recorder.Code, recorder.Body)
	// Output: 200 a table for two
}

func ExampleOptions() {
	options := middleware.Options{
		Route:          func(r *http.Request) string { return r.Pattern },
		IdempotencyKey: func(r *http.Request) string { return r.Header.Get("X-Booking") },
	}
	request := options.Request(httptest.NewRequest("GET", "/", nil))
	fmt.Println(request.IdempotencyKey == "")
	// Output: true
}
